#ifndef DRAGONFLYGLADE_GATEWAY_WIRE_FORMAT_H_
#define DRAGONFLYGLADE_GATEWAY_WIRE_FORMAT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/prompt_cache_follower.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/store_types.h"

namespace dragonflyglade::gateway {

/// An HTTP request to send, independent of the HTTP library.
struct OutgoingHttpRequest {
  std::string method;
  std::string path_and_query;
  HeaderFields fields;
  std::string body;
};

/// The head of a received HTTP message, independent of the HTTP library.
struct HttpMessageHead {
  std::string_view method;          ///< requests only
  std::string_view path_and_query;  ///< requests only
  int status = 0;                   ///< responses only
  bool keep_alive = true;
  HeaderFields fields;
};

/// The codec functions for the formats of callers, targets, engines and the
/// store. Each platform adapter makes one value and passes it to the gateway's
/// constructor. The functions only encode and decode.
struct WireFormat {
  // Callers.
  std::function<Result<CallerRequest>(const HttpMessageHead&)> decode_request;
  /// The header fields of a response that identify the caller's request.
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

  /// @param since the number of the first event that is not known
  std::function<OutgoingHttpRequest(std::string_view target, std::int64_t since,
                                    absl::Duration wait)>
      encode_cache_events_call;
  std::function<Result<PromptCacheEvents>(std::string_view body)>
      decode_cache_events;
  std::function<OutgoingHttpRequest(std::string_view target)>
      encode_cache_list_call;
  /// All parts that the engine has cached, as its events.
  std::function<Result<PromptCacheEvents>(std::string_view body)>
      decode_cache_list;

  // Records in the store.
  std::string config_key;
  std::string targets_prefix;
  /// A key with this prefix ends with the name of an evacuated availability
  /// zone. The value says nothing more.
  std::string evacuations_prefix;
  std::function<Result<GatewayConfig>(std::string_view value)> decode_config;
  /// @param key the full store key, which ends with the target's id
  std::function<Result<TargetRecord>(std::string_view key,
                                     std::string_view value)>
      decode_target;

  // Calls to the store.
  std::function<OutgoingHttpRequest(const StoreCall&)> encode_store_call;
  std::function<StoreResponse(const StoreCall&, int status,
                              std::string_view body)>
      decode_store_response;

  // Discovery of instances, and readiness checks.
  std::function<std::optional<DirectoryQuery>(std::string_view path)>
      decode_directory_query;
  std::function<std::string(absl::Span<const std::string> addresses,
                            absl::Duration keep)>
      encode_directory_response;
  std::function<bool(std::string_view path)> is_readiness_check;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_WIRE_FORMAT_H_
