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

/// The limits of calls to targets.
struct TargetCallOptions {
  absl::Duration connect_timeout = absl::Milliseconds(300);
  /// The longest time without any received byte of a request's response.
  absl::Duration read_timeout = absl::Seconds(10);
  absl::Duration report_timeout = absl::Milliseconds(500);
  absl::Duration order_timeout = absl::Seconds(5);
  std::size_t max_body = 8u << 20;  ///< bytes of a response body
};

/// A completion request to an engine.
struct EngineRequest {
  std::string path;  ///< "/v1/completions" or "/v1/chat/completions"
  std::string body;  ///< JSON
  std::string request_id;
};

/// The kinds of changes that an order makes to an engine.
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
  std::string id;                ///< the same for all attempts of one order
  std::int64_t fence_token = 0;  ///< for engines that check fencing tokens
  std::string name;              ///< the model, the adapter or the new role
  std::string version;           ///< of the model
  std::int64_t bytes = 0;        ///< memory that the model or adapter needs
};

/// An engine's response to an order.
struct OrderResult {
  bool done = false;        ///< executed now or by an earlier attempt
  std::string boot_id;      ///< of the engine process that responded
  std::string explanation;  ///< why the engine refused; empty otherwise
};

/// An engine's report of its load and state.
struct EngineReport {
  LoadReport load;
  bool leaving = false;
};

/// A prompt prefix that was added to or evicted from an engine's cache.
struct CacheEvent {
  std::int64_t sequence = 0;
  std::uint64_t prefix = 0;  ///< hash of the prefix
  bool stored = true;        ///< false for an eviction
};

/// Client of one model engine, with the OpenAI HTTP API for completions and
/// vLLM's API for loading and unloading models and adapters.
///
/// Each call opens a connection of its own, so that a late response can never
/// be taken for the response to another request.
class EngineClient {
 public:
  EngineClient(Endpoint endpoint, std::string_view name,
               TargetCallOptions options);

  /// Makes a call that streams its response. HttpCall::Cancel ends it.
  std::shared_ptr<HttpCall> NewCall() const;

  /// Makes the HTTP request of a completion.
  static HttpRequest MakeCompletionRequest(const EngineRequest& request);

  /// Makes the HTTP request that resumes a stream.
  /// @param after_events the number of events already received
  static HttpRequest MakeResumeRequest(std::string_view request_id,
                                       int after_events);

  /// Fetches the engine's load report.
  Result<EngineReport> FetchReport() const;

  /// Fetches the cache events after a sequence number. Some may be missing.
  Result<std::vector<CacheEvent>> FetchCacheEvents(std::int64_t after) const;

  /// Sends an order. Errors: kConnectFailed if the engine certainly did not
  /// receive it; kOutcomeUnknown if the engine may have executed it.
  Result<OrderResult> SendOrder(const EngineOrder& order) const;

 private:
  Result<HttpResponse> Run(const HttpRequest& request,
                           absl::Duration timeout) const;

  const Endpoint endpoint;
  const std::string peer;
  const TargetCallOptions options;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TARGET_ENGINE_CLIENT_H_
