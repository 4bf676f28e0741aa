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

namespace dragonflyglade {

/// How a target is chosen.
enum class RoutingPolicy {
  kRegistry,       ///< the real one
  kRoundRobin,     ///< each instance in turn
  kTwoChoices,     ///< the less busy of two, by the own requests only
  kLeastReported,  ///< whoever reported the least
};

/// How waiting requests are ordered.
enum class QueuePolicy {
  kFair,  ///< the real one
  kFifo,  ///< as they came
};

/// What is wrong with one of the targets.
enum class TargetFault {
  kNone,
  kSlow,
  kUnresponsive,
  kRefusing,
  kThirdRefusing
};

/// What a run is made of.
struct ServingRun {
  std::size_t instances = 6;
  std::size_t targets = 20;
  RoutingPolicy routing = RoutingPolicy::kRegistry;
  QueuePolicy queue = QueuePolicy::kFair;
  TargetFault fault = TargetFault::kNone;
  absl::Duration report_lag = absl::Seconds(1);
  double load = 0.8;  ///< of what the targets can serve
  /// Each workspace's part of the load, before the pressure.
  std::vector<double> workspace_fractions = {0.4, 0.3, 0.1, 0.1, 0.1};
  /// By how much the first workspace exceeds its part.
  double excess_factor = 1;
  /// Whether workspaces are held to their rates, a tenth above their parts.
  bool limited = true;
  double batch_fraction = 0.2;   ///< of the requests
  double urgent_fraction = 0.1;  ///< of the requests
  int prefixes = 60;             ///< different prompt beginnings
  absl::Duration length = absl::Seconds(120);
  std::uint64_t seed = 1;
};

/// What a run showed.
struct ServingResult {
  int requests = 0;  ///< admitted
  int over_rate = 0;
  int in_time = 0;  ///< first token inside the class's deadline
  int lost = 0;     ///< never answered
  int attempts = 0;
  int prefix_hits = 0;
  std::map<std::string, std::pair<int, int>> by_workspace;  ///< in time, all
  std::map<int, std::pair<int, int>> by_class;
  absl::Duration longest_batch_wait;

  double Attained() const;
  double Attained(const std::string& workspace) const;
  /// The worst workspace's attainment over the best's.
  double WorstOverBest() const;
};

/// Instances that choose targets without knowing each other's load, targets
/// that batch, and reports that lag, on a virtual clock.
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
    // Honours priorities.
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
    std::map<std::string, int> in_flight;  ///< requests at each target
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
  std::multimap<Instant, std::function<void()>> events;
  std::vector<Instance> instances;
  std::map<std::string, Target> targets;
  std::vector<TokenBucket> rates;
  std::uint64_t next_id = 1;
  ServingResult result;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_SERVING_FLEET_H_
