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
struct OutgoingHttpRequest {
  std::string method;
  std::string path_and_query;
  HeaderFields fields;
  std::string body;
};

/// An HTTP message's head, as a library parsed it.
struct HttpMessageHead {
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
  std::function<Result<CallerRequest>(const HttpMessageHead&)> decode_request;
  /// The fields that a caller's request is named by in an answer.
  std::function<HeaderFields(const CallerRequest&)> response_fields;

  // Targets.
  std::function<HeaderFields(const CallerRequest&, const ForwardingContext&)>
      target_request_fields;
  std::function<ResponseHead(const HttpMessageHead&)> decode_response_head;
  std::function<OutgoingHttpRequest(std::string_view target,
                                    const EngineOrder&)>
      encode_order;
  std::function<std::optional<OrderResponse>(int status)> decode_order_response;
  std::function<OutgoingHttpRequest(std::string_view target)>
      encode_report_call;
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
  std::function<OutgoingHttpRequest(const StoreCall&)> encode_store_call;
  std::function<StoreResponse(const StoreCall&, int status,
                              std::string_view body)>
      decode_store_response;

  // Which instances to use, and readiness.
  std::function<std::optional<DirectoryQuery>(std::string_view path)>
      decode_directory_query;
  std::function<std::string(absl::Span<const std::string> addresses,
                            absl::Duration keep)>
      encode_directory_response;
  std::function<bool(std::string_view path)> is_readiness_check;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_WIRE_FORMAT_H_
