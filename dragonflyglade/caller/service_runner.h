#ifndef DRAGONFLYGLADE_CALLER_SERVICE_RUNNER_H_
#define DRAGONFLYGLADE_CALLER_SERVICE_RUNNER_H_

#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/caller/call_context.h"
#include "dragonflyglade/caller/caller_request.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/retry_budget.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/admission_gate.h"
#include "dragonflyglade/store/claim_store.h"
#include "dragonflyglade/target/dispatcher.h"
#include "dragonflyglade/target/engine_client.h"

namespace dragonflyglade {

/// Runs calls to plain services, which are targets that run no models.
///
/// A call that may not be repeated is sent once, on a new connection. If it has
/// an Idempotency-Key, a claim is written first, so that the call runs at most
/// once however often the caller sends it.
class ServiceRunner {
 public:
  ServiceRunner(AdmissionGate& gate, Dispatcher& dispatcher, ClaimStore& claims,
                RetryBudget& retries, Metrics& metrics, CallerLimits limits,
                TargetCallOptions call_options, std::string_view zone,
                Clock clock);

  /// Handles a request for "/v1/services/<name>/<path>" whose key is valid.
  CallerResponse Run(const CallContext& context, const CallerRequest& request);

 private:
  /// A call to a service.
  struct Job {
    const CallContext* context = nullptr;
    const CallerRequest* request = nullptr;
    const ServiceRecord* service = nullptr;
    std::string path;  ///< at the service, with the query
    bool repeatable = false;
    Instant reservation_deadline;
  };
  /// The result of a call, and the state that its claim gets.
  struct CallEnd {
    CallerResponse response;
    ClaimState state = ClaimState::kUnknown;
    bool certainly_not_run = false;
  };

  CallEnd Send(const Job& job);
  CallEnd CallEndFor(const Job& job, const Result<HttpResponse>& reply) const;
  std::variant<TargetReservation, Refusal> Reserve(
      const Job& job, const std::set<std::string>& avoid);
  Result<HttpResponse> CallTarget(const Job& job,
                                  const TargetReservation& reservation) const;
  CallerResponse RunWithClaim(const Job& job);
  ClaimStep AcquireClaim(const std::string& key, const Claim& claim);
  CallerResponse SendWithClaim(const Job& job, const std::string& key,
                               std::int64_t revision, Claim claim);

  AdmissionGate& gate;
  Dispatcher& dispatcher;
  ClaimStore& claims;
  RetryBudget& retries;
  Metrics& metrics;
  const CallerLimits limits;
  const TargetCallOptions call_options;
  const std::string zone;
  const Clock clock;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_SERVICE_RUNNER_H_
