#ifndef DRAGONFLYGLADE_DECISION_PLACEMENT_PLANNER_H_
#define DRAGONFLYGLADE_DECISION_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/target_ledger.h"

namespace dragonflyglade {

/// Input of the planner: a model.
struct PlannerModel {
  std::string name;
  std::string version;
  std::int64_t bytes = 0;
  int min_copies = 1;
};

/// Input of the planner: an adapter.
struct PlannerAdapter {
  std::string name;
  std::string model;
  std::int64_t bytes = 0;
};

/// Input of the planner: a target.
struct PlannerTarget {
  TargetLedger ledger;
  bool usable = true;  ///< reachable, not leaving, and reports its state
  /// Models and adapters in its memory by its last report. Nothing if that
  /// report was made before the orders so far could take effect.
  std::optional<std::set<std::string>> resident;
};

/// Input of one planning round.
struct PlannerInput {
  std::vector<PlannerModel> models;
  std::vector<PlannerAdapter> adapters;
  std::vector<PlannerTarget> targets;
  std::map<std::string, double> demand;  ///< model to tokens per second
  int open_model_loads = 0;              ///< model loads in progress
  int open_adapter_loads = 0;            ///< adapter loads in progress
};

/// Limits and thresholds.
struct PlannerOptions {
  double copy_tokens_per_second = 1000;  ///< demand that one copy can serve
  /// A copy is added when demand exceeds this share of what the copies can
  /// serve.
  double add_above = 0.8;
  /// A copy is dropped when demand is below this share of what the remaining
  /// copies can serve.
  double drop_below = 0.4;
  /// How long demand must stay low before a copy is dropped.
  absl::Duration drop_after = absl::Seconds(60);
  double loads_per_second = 2;  ///< model loads that the weight store allows
  int loads_at_once = 8;        ///< concurrent model loads
  int adapter_loads_at_once = 60;
};

/// Load a model or adapter at a target.
struct PlanLoad {
  std::string target;
  CopySpec spec;
};
/// Repeat the load of a copy that is in a target's ledger but not loaded.
struct PlanReload {
  std::string target;
  CopySpec spec;
};
/// Unload a copy of a model or adapter.
struct PlanUnload {
  std::string target;
  std::string name;
  /// The target whose copy of the same model must stay loaded meanwhile; empty
  /// if there need not be one, as for adapters.
  std::string retained_copy_target;
};
using PlanStep = std::variant<PlanLoad, PlanReload, PlanUnload>;

/// Decides which models and adapters each target loads. Not thread-safe.
///
/// Every model gets a first copy before others get more, further copies follow
/// demand, and adapters are loaded at the targets that have their model. The
/// planner prefers few loads and unloads to the best distribution: a copy is
/// dropped only after demand was low for a while, or to make room for a model
/// that has no copy at all.
class PlacementPlanner {
 public:
  PlacementPlanner(PlannerOptions options, Clock clock);

  /// Returns the next steps, within the limits of the weight store.
  /// Complexity: O(models log models + models * targets) in the worst case;
  /// targets are scanned only for models that need more copies.
  std::vector<PlanStep> Plan(const PlannerInput& input);

 private:
  struct Round;

  int DesiredCopies(const PlannerModel& model, double demand, int present);
  void PlanModels(Round& round);
  void PlanModel(Round& round, const PlannerModel& model);
  void PlanAdapters(Round& round);
  void PlanUnloads(Round& round);
  void Reconcile(Round& round);
  void ReconcileCopy(Round& round, std::size_t target, const LedgerCopy& copy);
  bool MakeRoom(Round& round, std::int64_t bytes);

  const PlannerOptions options;
  const Clock clock;
  double load_credit = 0;
  Instant credited_at;
  std::map<std::string, Instant> low_since;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PLACEMENT_PLANNER_H_
