#ifndef DRAGONFLYGLADE_MEASURE_MODEL_PLACEMENT_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_PLACEMENT_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/placement_planner.h"
#include "dragonflyglade/decision/target_ledger.h"
#include "measure/history/history.h"
#include "measure/model/scheduled_events.h"

namespace dragonflyglade {

/// Parameters of a simulation run. Probabilities are from 0 to 1; sizes are in
/// bytes.
struct PlacementRun {
  int targets = 6;
  int models = 12;
  int adapters = 6;
  int planners = 1;              ///< that run at the same time
  bool fenced = false;           ///< whether targets check fencing tokens
  std::int64_t capacity = 1000;  ///< memory of a target
  std::int64_t model_bytes = 220;
  std::int64_t adapter_bytes = 10;
  absl::Duration length = absl::Minutes(10);
  /// Probability that the response to an order is lost.
  double lost = 0;
  /// Probability that an order is executed late. Its response is lost as well,
  /// and half of the late orders are executed twice.
  double late = 0;
  absl::Duration max_order_delay = absl::Seconds(60);
  /// Probability per second that a target restarts.
  double restarts = 0;
  /// Probability per planning round that a planner pauses.
  double pauses = 0;
  /// Makes the key-value service unavailable for the middle fifth of the run.
  bool kv_out_midway = false;
  /// Ratio of the highest to the lowest demand of each model. Demand moves from
  /// one to the other within an hour.
  double swing = 1;
  double tokens_per_second = 6000;  ///< of all models together
  /// Baseline: the planner sees no demand.
  bool static_placement = false;
  PlannerOptions plan;
  /// Faulty planner that releases a copy's memory as soon as an unload is
  /// confirmed, although an earlier load may still be executed.
  bool forget_open_loads = false;
  std::uint64_t seed = 1;
};

/// Results of a simulation run.
struct PlacementResult {
  int moves = 0;         ///< loads of models
  double attained = 0;   ///< fraction of the demand that the copies could serve
  double reachable = 0;  ///< fraction of model-seconds with at least one copy
  std::int64_t kv_writes = 0;
  int worst_over = 0;  ///< most bytes above a target's memory; 0 if never
  std::vector<HistoryEvent> history;
};

/// Simulates model placement on a virtual clock: targets with limited memory,
/// planners that may run concurrently and pause, and orders that are delayed or
/// duplicated or whose responses are lost.
class PlacementFleet {
 public:
  explicit PlacementFleet(const PlacementRun& run);

  PlacementResult Run();

 private:
  struct Target {
    std::string name;
    int boot_number = 1;
    std::int64_t highest_token = 0;
    std::map<std::string, std::int64_t> memory;
  };
  struct StoredLedger {
    TargetLedger ledger;
    std::int64_t revision = 0;
  };
  struct Planner {
    std::unique_ptr<PlacementPlanner> planner;
    std::int64_t token = 0;
    Instant paused_until;
    std::map<std::string, std::pair<std::int64_t, Instant>> observed;
    int open_model_loads = 0;
    int open_adapter_loads = 0;
  };

  void Schedule(Instant when, std::function<void()> action);
  void PlanRound(std::size_t planner);
  void ApplyStep(std::size_t planner, const PlanStep& step,
                 std::map<std::string, StoredLedger> snapshot);
  bool WriteLedger(
      StoredLedger stored,
      const std::vector<std::pair<std::string, std::int64_t>>& preconditions);
  void SendOrder(std::size_t planner, const std::string& target, bool is_load,
                 const CopySpec& spec, const std::string& order_id,
                 std::int64_t token);
  bool ExecuteOrder(Target& target, bool is_load, const CopySpec& spec,
                    std::int64_t token);
  void RecordOutcome(const std::string& target, bool is_load,
                     const OrderOutcome& outcome);
  void SimulateSecond();
  double DemandOf(int model) const;
  bool IsKvUnavailable() const;
  bool DrawChance(double probability);
  std::string BootId(const Target& target) const;
  PlannerInput MakePlannerInput(Planner& planner,
                                std::map<std::string, StoredLedger>& snapshot);

  const PlacementRun run;
  ManualClock manual;
  Clock clock;
  std::mt19937_64 random;
  ScheduledEvents events;
  std::map<std::string, Target> targets;
  std::map<std::string, StoredLedger> store;
  std::int64_t revision = 1;
  std::vector<Planner> planners;
  std::vector<double> demand_phases;
  std::vector<double> demand_weights;
  double demanded_tokens = 0;
  double served_tokens = 0;
  int model_seconds = 0;
  int reachable_seconds = 0;
  PlacementResult result;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_PLACEMENT_FLEET_H_
