#ifndef DRAGONFLYGLADE_MEASURE_MODEL_SERVING_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_SERVING_FLEET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/fair_queue.h"
#include "dragonflyglade/decision/retry_budget.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/decision/token_bucket.h"
#include "measure/model/scheduled_events.h"

namespace dragonflyglade {

/// How an instance chooses a target.
enum class RoutingPolicy {
  kRegistry,       ///< the production policy
  kRoundRobin,     ///< each instance cycles through the targets
  kTwoChoices,     ///< of two random targets, the one with fewer of the
                   ///< instance's own requests
  kLeastReported,  ///< the target that reported the fewest queued tokens
};

/// How waiting requests are ordered.
enum class QueuePolicy {
  kFair,  ///< the production queue
  kFifo,  ///< in order of arrival
};

/// Fault that is injected into the targets during a run.
enum class TargetFault {
  kNone,
  kSlow,          ///< one target is slow
  kUnresponsive,  ///< one target accepts requests and never responds
  kRefusing,      ///< one target refuses requests
  kThirdRefusing  ///< a third of the targets refuse requests
};

/// Parameters of a simulation run.
struct ServingRun {
  std::size_t instances = 6;
  std::size_t targets = 20;
  RoutingPolicy routing = RoutingPolicy::kRegistry;
  QueuePolicy queue = QueuePolicy::kFair;
  TargetFault fault = TargetFault::kNone;
  absl::Duration report_lag = absl::Seconds(1);
  double load = 0.8;  ///< fraction of the targets' capacity
  /// Each workspace's fraction of the load, before excess_factor.
  std::vector<double> workspace_fractions = {0.4, 0.3, 0.1, 0.1, 0.1};
  /// Factor by which the first workspace exceeds its fraction.
  double excess_factor = 1;
  /// Whether rate limits apply. A workspace's limit is 10% above its fraction
  /// of the load.
  bool limited = true;
  double batch_fraction = 0.2;   ///< of the requests
  double urgent_fraction = 0.1;  ///< of the requests
  int prefixes = 60;             ///< number of distinct prompt prefixes
  absl::Duration length = absl::Seconds(120);
  std::uint64_t seed = 1;
};

/// Results of a simulation run.
struct ServingResult {
  int requests = 0;   ///< admitted
  int over_rate = 0;  ///< refused by the rate limit
  int in_time = 0;    ///< first token within the class's deadline
  int lost = 0;       ///< given up without a response
  int attempts = 0;
  int prefix_hits = 0;
  /// Requests in time and all requests, by workspace.
  std::map<std::string, std::pair<int, int>> by_workspace;
  /// The same by request class.
  std::map<int, std::pair<int, int>> by_class;
  absl::Duration longest_batch_wait;

  /// Fraction of the requests whose first token came in time.
  double Attained() const;
  double Attained(const std::string& workspace) const;
  /// Ratio of the lowest to the highest Attained() of a workspace.
  double WorstOverBest() const;
};

/// Simulates request routing on a virtual clock. Instances choose targets
/// without knowing each other's requests, targets run requests in batches, and
/// load reports arrive late.
class ServingFleet {
 public:
  explicit ServingFleet(const ServingRun& run);

  ServingResult Run();

 private:
  struct Request {
    std::uint64_t id = 0;
    std::string workspace;
    RequestClass request_class = RequestClass::kChat;
    double prompt = 0;
    double output = 0;
    std::uint64_t prefix = 0;
    Instant arrived;
    std::set<std::string> avoid;
    int attempts = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct QueuedRequest {
    RequestPtr request;
    std::size_t instance = 0;
    TargetReservation reservation;
  };
  struct ReportSnapshot {
    Instant at;
    double tokens = 0;
    int requests = 0;
  };
  struct Target {
    std::string name;
    double slow_factor = 1;
    bool unresponsive = false;
    bool refusing = false;
    int running = 0;
    double queued_tokens = 0;
    // By request class. Lower values are served first, as priorities.
    std::map<int, std::deque<QueuedRequest>> queue;
    std::set<std::uint64_t> prefixes;
    std::deque<std::uint64_t> prefix_order;
    std::deque<ReportSnapshot> reports;
  };
  struct Instance {
    std::unique_ptr<TargetRegistry> registry;
    std::unique_ptr<FairQueue> queue;
    std::unique_ptr<RetryBudget> retries;
    std::map<std::uint64_t, RequestPtr> waiting;
    std::map<std::string, int> in_flight;  ///< own requests at each target
    std::size_t next_target_index = 0;
  };

  void Schedule(Instant when, std::function<void()> action);
  void GenerateRequest(std::size_t workspace);
  void Enqueue(std::size_t instance, const RequestPtr& request);
  void DispatchWaiting(std::size_t instance);
  bool TryDispatch(std::size_t instance, const RequestPtr& request);
  std::string ChooseBaselineTarget(std::size_t instance,
                                   const Request& request);
  void SendToTarget(std::size_t instance, const RequestPtr& request,
                    const TargetReservation& reservation);
  void StartQueued(Target& target);
  void FinishAttempt(std::size_t instance, const TargetReservation& reservation,
                     RequestOutcome outcome);
  void FailAttempt(std::size_t instance, const RequestPtr& request,
                   const TargetReservation& reservation);
  void PublishReports();
  void DispatchAll();
  bool UsePrefixCache(Target& target, std::uint64_t prefix);

  const ServingRun run;
  ManualClock manual;
  Clock clock;
  std::mt19937_64 random;
  ScheduledEvents events;
  std::vector<Instance> instances;
  std::map<std::string, Target> targets;
  std::vector<TokenBucket> rates;
  std::uint64_t next_id = 1;
  ServingResult result;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_SERVING_FLEET_H_
