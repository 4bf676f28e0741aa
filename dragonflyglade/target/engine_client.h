#ifndef DRAGONFLYGLADE_TARGET_ENGINE_CLIENT_H_
#define DRAGONFLYGLADE_TARGET_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/net/http_call.h"

namespace dragonflyglade {

/// Limits of calls to targets.
struct TargetCallOptions {
  absl::Duration connect_timeout = absl::Milliseconds(300);
  absl::Duration read_timeout = absl::Seconds(10);  ///< longest silence
  absl::Duration report_timeout = absl::Milliseconds(500);
  absl::Duration order_timeout = absl::Seconds(5);
  std::size_t max_body = 8u << 20;
};

/// A completion to ask an engine for.
struct EngineRequest {
  std::string path;  ///< "/v1/completions" or "/v1/chat/completions"
  std::string body;  ///< JSON
  std::string request_id;
};

/// What an order changes at an engine.
enum class OrderKind {
  kLoadModel,
  kUnloadModel,
  kLoadAdapter,
  kUnloadAdapter,
  kSetRole,
};

/// An order to an engine.
struct EngineOrder {
  OrderKind kind = OrderKind::kLoadModel;
  std::string id;  ///< the same for each attempt at one order
  std::int64_t fence = 0;
  std::string name;  ///< of the model or adapter; the new role
  std::string version;
  std::int64_t bytes = 0;
};

/// What an engine said to an order.
struct OrderResult {
  bool done = false;        ///< carried out (or was before)
  std::string boot_id;      ///< of the process that answered
  std::string explanation;  ///< if it refused
};

/// An engine's report, and whether it is leaving.
struct EngineReport {
  LoadReport load;
  bool leaving = false;
};

/// A prompt prefix that an engine began or ceased to hold.
struct CacheEvent {
  std::int64_t sequence = 0;
  std::uint64_t prefix = 0;
  bool stored = true;
};

/// Calls to one model engine, by the OpenAI HTTP API and the orders of vLLM.
///
/// Each call takes a connection of its own, so that an answer which comes
/// late can never be taken for the answer to another request.
class EngineClient {
 public:
  EngineClient(Endpoint endpoint, std::string_view name,
               TargetCallOptions options);

  /// A call whose answer is passed on as it comes; Cancel ends it.
  std::shared_ptr<HttpCall> NewCall() const;

  /// The HTTP request of a completion.
  static HttpRequest MakeCompletionRequest(const EngineRequest& request);

  /// The HTTP request that takes a stream up after so many events.
  static HttpRequest MakeResumeRequest(std::string_view request_id,
                                       int after_events);

  Result<EngineReport> Report() const;

  /// Events after a sequence number. There may be gaps.
  Result<std::vector<CacheEvent>> FetchCacheEvents(std::int64_t after) const;

  /// Errors: kConnectFailed if it certainly did not arrive; kOutcomeUnknown
  /// if it may have.
  Result<OrderResult> Order(const EngineOrder& order) const;

 private:
  Result<HttpResponse> Run(const HttpRequest& request,
                           absl::Duration timeout) const;

  const Endpoint endpoint;
  const std::string peer;
  const TargetCallOptions options;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TARGET_ENGINE_CLIENT_H_
