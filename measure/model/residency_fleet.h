#ifndef DRAGONFLYGLADE_MEASURE_MODEL_RESIDENCY_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_RESIDENCY_FLEET_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/demand_trend.h"
#include "dragonflyglade/decision/model_load_limiter.h"
#include "dragonflyglade/decision/residency_planner.h"

namespace dragonflyglade {

/// Models of one size: memory and load times from `least` to `most`.
struct ModelGroup {
  int models = 0;
  double least_memory_mb = 0;
  double most_memory_mb = 0;
  absl::Duration least_load_time;
  absl::Duration most_load_time;
};

/// Parameters of a simulated load on engines whose models a leader plans.
struct ResidencyRun {
  int engines = 0;
  double memory_mb = 0;  ///< of an engine
  std::vector<ModelGroup> groups;
  double loads_per_second = 0;
  /// Part of the engines' capacity that the requests use.
  double utilisation = 0.4;
  int demanded_models = 30;
  /// Part of the requests that ask for a demanded model.
  double demanded_part = 0.85;
  /// Time between two changes of the demanded models.
  absl::Duration shift_period = absl::Seconds(15);
  int shifts = 6;
  /// Plans all models as if they took 5 s to load, from the average demand.
  bool fixed_thresholds = false;
  std::uint64_t seed = 1;
};

/// What callers get, from 4 s after each change of demand to the next.
struct ResidencyRunResult {
  double one_candidate_part = 0;  ///< requests with one engine to choose
  double busiest_over_mean = 0;   ///< work of the busiest engine, mean of spans
  double late_part = 0;           ///< requests behind 300 ms of work or more
  double no_copy_part = 0;        ///< requests for a model without a copy
  /// Over the whole run:
  int loads = 0;
  int store_loads = 0;
  int orders = 0;
};

/// Plays a load on a virtual clock against ResidencyPlanner.
class ResidencyFleet {
 public:
  explicit ResidencyFleet(const ResidencyRun& run);

  ResidencyRunResult Run();

 private:
  struct Model {
    DemandedModel spec;
    DemandTrend trend;
    double weight = 0;           ///< part of the requests
    double previous_weight = 0;  ///< before the last change of demand
  };
  struct Engine {
    EngineResidency residency;
    Instant order_ends_at;          ///< of the open order
    std::string unloading;          ///< model that the open order unloads
    std::vector<std::string> kept;  ///< unloaded models, the latest last
    std::map<std::string, Instant> last_use;
    double backlog_ms = 0;  ///< work that waits or runs
    double work_ms = 0;     ///< since the counts began
  };
  struct Counts {
    int requests = 0;
    int one_candidate = 0;
    int late = 0;
    int no_copy = 0;
  };

  void AddModels(const ModelGroup& group);
  void PlaceModels();
  void ShiftDemand();
  double CurrentWeight(const Model& model) const;
  void Step();
  void SendRequests();
  void SendRequest(Model& model, double work_ms);
  void EndOrders();
  void Plan();
  void Apply(const ResidencyChange& change);
  void BeginCounts();
  void EndCounts();

  const ResidencyRun run;
  ManualClock manual;
  Clock clock;
  std::mt19937_64 random;
  ResidencyPlanner planner;
  ModelLoadLimiter limiter;
  std::vector<Model> models;
  std::vector<Engine> engines;
  Instant shifted_at;
  Instant next_plan;
  Counts counts;
  ResidencyRunResult result;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_RESIDENCY_FLEET_H_
