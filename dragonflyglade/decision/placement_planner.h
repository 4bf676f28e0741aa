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

/// A model as the planner sees it.
struct PlannerModel {
  std::string name;
  std::string version;
  std::int64_t bytes = 0;
  int min_copies = 1;
};

/// An adapter as the planner sees it.
struct PlannerAdapter {
  std::string name;
  std::string model;
  std::int64_t bytes = 0;
};

/// A target as the planner sees it.
struct PlannerTarget {
  TargetLedger ledger;
  bool usable = true;  ///< live, not leaving, reporting
  /// What it reported once the orders so far had time to take effect;
  /// nothing if there is no such report.
  std::optional<std::set<std::string>> resident;
};

/// What one round of planning is decided from.
struct PlannerInput {
  std::vector<PlannerModel> models;
  std::vector<PlannerAdapter> adapters;
  std::vector<PlannerTarget> targets;
  std::map<std::string, double> demand;  ///< model to tokens a second
  int open_model_loads = 0;
  int open_adapter_loads = 0;
};

/// Limits and thresholds.
struct PlannerOptions {
  double copy_tokens_per_second = 1000;  ///< what one copy serves well
  /// A copy is added above this part of what the copies serve.
  double add_above = 0.8;
  /// A copy goes when the others would stay below this part.
  double drop_below = 0.4;
  /// How long demand must ask for fewer copies before one goes.
  absl::Duration drop_after = absl::Seconds(60);
  double loads_per_second = 2;  ///< of the weight store
  int loads_at_once = 8;
  int adapter_loads_at_once = 60;
};

/// Load a model or adapter at a target.
struct PlanLoad {
  std::string target;
  CopySpec spec;
};
/// Send the load of a copy that is booked but not there once more.
struct PlanReload {
  std::string target;
  CopySpec spec;
};
/// Unload a copy; the copy at `retained_copy_target` must stand while this
/// happens.
struct PlanUnload {
  std::string target;
  std::string name;
  std::string retained_copy_target;  ///< empty for adapters
};
using PlanStep = std::variant<PlanLoad, PlanReload, PlanUnload>;

/// Decides which models should be where. Not synchronised.
///
/// Every model first, then more copies where demand asks for them, adapters
/// beside their models. Fewer moves go before a better fit: a copy is only
/// dropped after demand was low for a while, or to make room for a model
/// that has no copy at all.
class PlacementPlanner {
 public:
  PlacementPlanner(PlannerOptions options, Clock clock);

  /// The next steps, within the store's limits.
  /// Complexity: O(models log models + models * targets) at the worst; targets
  /// are scanned only for models that lack copies.
  std::vector<PlanStep> Plan(const PlannerInput& input);

 private:
  struct Round;

  int WantedCopies(const PlannerModel& model, double demand, int present);
  void PlanModels(Round& round);
  void PlanModel(Round& round, const PlannerModel& model);
  void PlanAdapters(Round& round);
  void PlanDrops(Round& round);
  void Repair(Round& round);
  void RepairCopy(Round& round, std::size_t target, const LedgerCopy& copy);
  bool MakeRoom(Round& round, std::int64_t bytes);

  const PlannerOptions options;
  const Clock clock;
  double load_credit = 0;
  Instant credited;
  std::map<std::string, Instant> low_since;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PLACEMENT_PLANNER_H_
