#ifndef DRAGONFLYGLADE_CALLER_REQUEST_HANDLER_H_
#define DRAGONFLYGLADE_CALLER_REQUEST_HANDLER_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/caller/call_context.h"
#include "dragonflyglade/caller/caller_request.h"
#include "dragonflyglade/caller/completion_runner.h"
#include "dragonflyglade/caller/service_runner.h"
#include "dragonflyglade/decision/config_freshness.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade {

/// Whether the instance takes new work.
enum class ServingState { kStarting, kServing, kDraining };

/// Handles callers' requests: authenticates the caller by its key and passes
/// the request to the runner that executes it. Thread-safe.
class RequestHandler {
 public:
  /// @param cache_duration how long callers may cache the list of instances
  RequestHandler(const CatalogHolder& catalog, const ConfigFreshness& freshness,
                 const Membership& membership, CompletionRunner& completions,
                 ServiceRunner& services, Metrics& metrics, CallerLimits limits,
                 absl::Duration cache_duration);

  /// Handles a request.
  IdentifiedResponse Handle(const CallerRequest& request);

  /// Whether new work is accepted; a refusal says why not.
  std::variant<ServingState, Refusal> Readiness() const;

  const CallerLimits& Limits() const { return this->limits; }

 private:
  CallerResponse Process(const CallerRequest& request,
                         const std::string& request_id);
  CallerResponse ListInstances(const CallerRequest& request) const;
  CallerResponse ListModels(const CallContext& context) const;
  std::variant<CallContext, Refusal> Authenticate(
      const CallerRequest& request, const std::string& request_id) const;
  CallerResponse RunAuthenticated(const CallContext& context,
                                  const CallerRequest& request);

  const CatalogHolder& catalog;
  const ConfigFreshness& freshness;
  const Membership& membership;
  CompletionRunner& completions;
  ServiceRunner& services;
  Metrics& metrics;
  const CallerLimits limits;
  const absl::Duration cache_duration;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_REQUEST_HANDLER_H_
