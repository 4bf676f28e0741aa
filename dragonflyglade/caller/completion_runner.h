#ifndef DRAGONFLYGLADE_CALLER_COMPLETION_RUNNER_H_
#define DRAGONFLYGLADE_CALLER_COMPLETION_RUNNER_H_

#include <memory>
#include <string>
#include <string_view>

#include "dragonflyglade/caller/call_context.h"
#include "dragonflyglade/caller/caller_request.h"
#include "dragonflyglade/caller/completion_request.h"
#include "dragonflyglade/caller/stream_registry.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/demand_tracker.h"
#include "dragonflyglade/decision/retry_budget.h"
#include "dragonflyglade/net/task_group.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/admission_gate.h"
#include "dragonflyglade/target/dispatcher.h"
#include "dragonflyglade/target/engine_client.h"

namespace dragonflyglade {

/// Runs completions at model engines and returns complete responses or streams.
///
/// A completion changes nothing at the engine, so it may be retried as long as
/// the caller has received no part of the response. After that a broken stream
/// is resumed where it stopped, or ended with an explicit error event.
class CompletionRunner {
 public:
  CompletionRunner(AdmissionGate& gate, Dispatcher& dispatcher,
                   TargetRegistry& targets, StreamRegistry& registry,
                   const CatalogHolder& catalog, DemandTracker& demand,
                   RetryBudget& retries, Metrics& metrics, CallerLimits limits,
                   TargetCallOptions call_options, std::string_view zone,
                   Clock clock);

  /// Handles a completion request whose key is valid.
  CallerResponse Run(const CallContext& context, const CallerRequest& request);

  /// The number of unfinished completions.
  int Running() const { return this->tasks.Running(); }

 private:
  struct Job;
  struct Attempt;

  void RunJob(Job& job);
  void TryTargets(Job& job);
  bool RunAttempt(Job& job, const TargetReservation& reservation);
  void ReadStream(Job& job, Attempt& attempt, const HttpRequest& request);
  bool MayResume(const Job& job, const Attempt& attempt) const;
  void ResumeUntilComplete(Job& job, Attempt& attempt);
  RequestOutcome OutcomeOf(Job& job, const Attempt& attempt);
  bool MayRetry(const Job& job, const Attempt& attempt);
  std::variant<TargetReservation, Refusal> Reserve(Job& job);
  CallerResponse CollectResponse(Job& job);

  AdmissionGate& gate;
  Dispatcher& dispatcher;
  TargetRegistry& targets;
  StreamRegistry& registry;
  const CatalogHolder& catalog;
  DemandTracker& demand;
  RetryBudget& retries;
  Metrics& metrics;
  const CallerLimits limits;
  const TargetCallOptions call_options;
  const std::string zone;
  const Clock clock;
  TaskGroup tasks;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_COMPLETION_RUNNER_H_
