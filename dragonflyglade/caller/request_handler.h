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

/// Answers callers' requests: checks the key, then hands the request to the
/// part that runs it. Thread-safe.
class RequestHandler {
 public:
  RequestHandler(const CatalogHolder& catalog, const ConfigFreshness& freshness,
                 const Membership& membership, CompletionRunner& completions,
                 ServiceRunner& services, Metrics& metrics, CallerLimits limits,
                 absl::Duration keep);

  /// Answers any request.
  IdentifiedResponse Handle(const CallerRequest& request);

  /// Whether new work is taken, and if not, why.
  std::variant<ServingState, Refusal> Readiness() const;

  /// How long callers may keep a which-instance answer.
  absl::Duration Keep() const { return this->keep; }

  const CallerLimits& Limits() const { return this->limits; }

 private:
  CallerResponse Answer(const CallerRequest& request,
                        const std::string& request_id);
  CallerResponse AnswerInstances(const CallerRequest& request) const;
  CallerResponse AnswerModels(const CallContext& context) const;
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
  const absl::Duration keep;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_REQUEST_HANDLER_H_
