#ifndef DRAGONFLYGLADE_GATEWAY_WIRE_FORMAT_H_
#define DRAGONFLYGLADE_GATEWAY_WIRE_FORMAT_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/store_types.h"

namespace dragonflyglade::gateway {

/// An HTTP call, free of any library's types.
struct HttpCallText {
  std::string method;
  std::string path_and_query;
  HeaderFields fields;
  std::string body;
};

/// An HTTP message's head, as a library parsed it.
struct HttpHeadText {
  std::string_view method;          ///< of requests
  std::string_view path_and_query;  ///< of requests
  int status = 0;                   ///< of answers
  bool keep_alive = true;
  HeaderFields fields;
};

/// How the world outside spells what the gateway means. One value of this
/// type is made by each adapter and given to the gateway's constructor; it
/// decodes and encodes, and decides nothing.
struct WireFormat {
  // Callers.
  std::function<Result<CallerRequest>(const HttpHeadText&)> decode_request;
  /// The fields that a caller's request is named by in an answer.
  std::function<HeaderFields(const CallerRequest&)> answer_fields;

  // Targets.
  std::function<HeaderFields(const CallerRequest&, const TargetStamp&)>
      target_fields;
  std::function<AnswerHead(const HttpHeadText&)> decode_answer;
  std::function<HttpCallText(std::string_view target, const EngineOrder&)>
      encode_order;
  std::function<std::optional<OrderAnswer>(int status)> decode_order_answer;
  std::function<HttpCallText(std::string_view target)> encode_report_call;
  std::function<Result<EngineReport>(std::string_view body)> decode_report;

  // What lies in the store.
  std::string config_key;
  std::string targets_prefix;
  std::function<Result<GatewayConfig>(std::string_view value)> decode_config;
  /// @param key the whole key, which names the target
  std::function<Result<TargetRecord>(std::string_view key,
                                     std::string_view value)>
      decode_target;

  // Calls to the store.
  std::function<HttpCallText(const StoreCall&)> encode_store_call;
  std::function<StoreReply(const StoreCall&, int status, std::string_view body)>
      decode_store_reply;

  // Which instances to use, and readiness.
  std::function<std::optional<DirectoryQuestion>(std::string_view path)>
      decode_directory_question;
  std::function<std::string(absl::Span<const std::string> addresses,
                            absl::Duration keep)>
      encode_directory_answer;
  std::function<bool(std::string_view path)> is_readiness_question;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_WIRE_FORMAT_H_
