#ifndef DRAGONFLYGLADE_DECISION_RESIDENCY_PLANNER_H_
#define DRAGONFLYGLADE_DECISION_RESIDENCY_PLANNER_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// A model of a service, with what callers ask of it now.
struct DemandedModel {
  std::string name;
  double memory_mb = 0;
  double adapter_mb = 0;  ///< of each of its adapters
  /// Engine time asked for: 1 keeps one target busy.
  double load = 0;
  int waiting = 0;  ///< requests that wait because it is nowhere
  /// How long a load takes, by where an engine has its weights.
  absl::Duration from_store = absl::Seconds(5);
  absl::Duration load_time_from_disk = absl::Seconds(1);
  absl::Duration load_time_from_memory = absl::Milliseconds(400);
};

/// An adapter that callers ask for now.
struct DemandedAdapter {
  std::string model;
  std::string adapter;
  double load = 0;
  int waiting = 0;
};

/// An engine, with what it holds or is booked to hold.
struct EngineResidency {
  std::string id;
  double memory_mb = 0;
  int adapter_slots = 0;
  /// Model to its adapters. A load that is under way counts as held, an
  /// unload that is under way still counts.
  std::map<std::string, std::set<std::string>, std::less<>> models;
  /// The model whose load is under way; empty if none is.
  std::string loading;
  /// Models whose weights it kept after they were unloaded. Such loads are
  /// fast and do not use the weight store.
  std::set<std::string, std::less<>> in_memory;
  std::set<std::string, std::less<>> on_disk;
  /// What requests use now, as "model" or "model/adapter".
  std::set<std::string> in_use;
  bool usable = true;  ///< present and not leaving
  /// False while requests to it fail: what it holds may be gone.
  bool answers = true;
  bool busy = false;     ///< takes no order for a model now
  bool closing = false;  ///< a model is being unloaded from it
};

/// A change of what an engine holds.
struct ResidencyChange {
  enum class Kind { kLoad, kUnload };
  Kind kind = Kind::kLoad;
  std::string target;
  std::string model;
  std::string adapter;      ///< empty: the model itself
  bool from_store = false;  ///< a load that the weight store counts
};

/// Thresholds.
struct ResidencyOptions {
  /// A model gets a copy more when its copies are this busy with it. Far
  /// below 1: engines slow down for all they serve as they fill, and a copy
  /// takes seconds to load while demand moves.
  double add_above = 0.50;
  /// A copy may make room for others if the rest would be at most this busy.
  double spare_copy_load_limit = 0.20;
  /// An adapter gets a second copy when one is this busy with it.
  double second_adapter_load_threshold = 0.15;
  /// How long a copy of a model stays once it is there, although others want
  /// its room: what it takes to load it again.
  absl::Duration min_model_residency = absl::Seconds(5);
  /// How much busier an engine may be for each second that a load there takes
  /// less. A copy that is there five seconds earlier is worth half an engine.
  double loading_penalty_per_second = 0.1;
  /// How much idler an engine must be to unload a model in use there: the
  /// order is open until the last request for it ends, which takes seconds.
  double unload_in_use_penalty = 0.3;
  /// How long an adapter stays although others want its place.
  absl::Duration min_adapter_residency = absl::Seconds(2);
};

/// Decides which models and adapters engines should hold. Not synchronised.
///
/// Every model keeps a copy; a copy is taken away only to make room, and never
/// the last one. Adapters load in milliseconds, so they follow requests;
/// models take seconds, so they follow the load before requests wait.
class ResidencyPlanner {
 public:
  ResidencyPlanner(ResidencyOptions options, Clock clock);

  /// The next changes. At most one for a model at each engine; engines that
  /// are busy get none.
  /// @param model_loads how many loads of models may begin now
  /// Complexity: O(models * engines + adapters * copies of their models).
  std::vector<ResidencyChange> Plan(absl::Span<const DemandedModel> models,
                                    absl::Span<const DemandedAdapter> adapters,
                                    absl::Span<const EngineResidency> engines,
                                    int model_loads);

 private:
  struct Round;

  bool WantsCopy(const Round& round, const DemandedModel& model) const;
  bool IsNeedier(const Round& round, const DemandedModel& one,
                 const DemandedModel& other) const;
  const DemandedModel* Neediest(const Round& round,
                                const std::set<std::string_view>& stuck) const;
  void PlanModels(Round& round, int model_loads);
  EngineResidency* PlaceFor(Round& round, const DemandedModel& model,
                            bool from_store);
  bool AddCopy(Round& round, const DemandedModel& model, bool from_store);
  double LoadingCost(const EngineResidency& engine,
                     const DemandedModel& model) const;
  double LeavingCost(const Round& round, const EngineResidency& engine,
                     const std::string& name) const;
  void NoteLoading(const Round& round);
  bool MayGo(const Round& round, const EngineResidency& engine,
             const std::string& name, const DemandedModel& wanted) const;
  bool Stays(std::string_view engine, std::string_view model,
             std::string_view adapter, absl::Duration time) const;
  bool MakeRoom(Round& round, const DemandedModel& model);
  void PlanAdapters(Round& round);
  void AddAdapter(Round& round, const DemandedAdapter& wanted);
  bool EvictAdapter(Round& round, EngineResidency& engine,
                    const DemandedAdapter& wanted);

  const ResidencyOptions options;
  const Clock clock;
  /// When a model or adapter was placed at an engine; keys are
  /// "engine model/adapter".
  std::map<std::string, Instant> placed_at;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RESIDENCY_PLANNER_H_
