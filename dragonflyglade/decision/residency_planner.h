#ifndef DRAGONFLYGLADE_DECISION_RESIDENCY_PLANNER_H_
#define DRAGONFLYGLADE_DECISION_RESIDENCY_PLANNER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// A model of a service and the current demand for it.
struct DemandedModel {
  std::string name;
  double memory_mb = 0;
  double adapter_mb = 0;  ///< memory of each of its adapters
  /// Demand in engine time: 1 keeps one engine busy. Copies are added for it.
  double load = 0;
  /// The demand that the remaining copies must bear if one is evicted; `load`
  /// if absent. Less than `load` while the demand falls.
  std::optional<double> remaining_load;
  /// Requests that wait because no engine holds the model.
  int waiting_requests = 0;
  /// How long loading the model takes, by where an engine gets the weights.
  absl::Duration load_time_from_store = absl::Seconds(5);
  absl::Duration load_time_from_disk = absl::Seconds(1);
  absl::Duration load_time_from_memory = absl::Milliseconds(400);
  /// All its adapters, also those that nobody asks for.
  std::vector<std::string> adapters;
};

/// An adapter and the current demand for it.
struct DemandedAdapter {
  std::string model;
  std::string adapter;
  double load = 0;  ///< engine time, as for a model
  /// Requests that wait because no engine holds the adapter.
  int waiting_requests = 0;
};

/// An engine and the models and adapters that are resident there.
struct EngineResidency {
  std::string id;
  double memory_mb = 0;
  int adapter_slots = 0;
  /// Model to its adapters, including those that are being loaded or unloaded.
  std::map<std::string, std::set<std::string>, std::less<>> models;
  /// The model that is being loaded; empty if there is none.
  std::string loading;
  /// Unloaded models whose weights the engine keeps in memory or on disk.
  /// Loading them is fast and does not use the weight store.
  std::set<std::string, std::less<>> in_memory;
  std::set<std::string, std::less<>> on_disk;
  /// Whether the limit on loads from the weight store counts one at this engine
  /// already, since an earlier order is unanswered and may still be carried
  /// out. The next order, once accepted, makes that one void.
  bool load_is_counted = false;
  /// Models and adapters that running requests use, as "model" or
  /// "model/adapter".
  std::set<std::string> in_use;
  bool usable = true;  ///< running and not leaving
  /// False while requests to the engine fail: it may have lost its models.
  bool responsive = true;
  /// Whether it takes so few requests that its copies serve only models that
  /// nobody asks for.
  bool limited = false;
  bool has_open_order = false;  ///< cannot take another order for a model now
  /// Requests in the engine's queue, of all its models.
  int waiting_requests = 0;
  bool unloading = false;  ///< a model is being unloaded
  /// The models that are being unloaded: they hold memory and serve no more
  /// requests.
  std::set<std::string, std::less<>> closing;
};

/// A model or adapter to load or unload at an engine.
struct ResidencyChange {
  enum class Kind { kLoad, kUnload };
  Kind kind = Kind::kLoad;
  std::string target;
  std::string model;
  std::string adapter;      ///< empty if the model itself changes
  bool uses_store = false;  ///< whether a load uses the weight store
};

/// Thresholds. Loads are in engine time: 1 keeps one engine busy. Those for
/// models hold for load times of 5 s and more; see LoadTimeFactor.
struct ResidencyOptions {
  /// Load per copy above which a model gets another copy. Far below 1, because
  /// all requests at an engine slow down as it fills, and because demand
  /// changes during the seconds that loading a copy takes.
  double add_copy_threshold = 0.50;
  /// A copy may be evicted if the load per remaining copy is at most this.
  double spare_copy_load_limit = 0.20;
  /// Load of an adapter's only copy above which it gets a second one.
  double second_adapter_load_threshold = 0.15;
  /// How long a loaded copy of a model is not evicted. As long as it takes to
  /// load it again.
  absl::Duration min_model_residency = absl::Seconds(5);
  /// When engines are compared, each second of loading time counts as this much
  /// engine load. A copy that is ready five seconds earlier is worth half an
  /// engine.
  double loading_penalty_per_second = 0.1;
  /// When engines are compared, unloading a model in use counts as this much
  /// engine load: the order stays open until the last request for the model
  /// ends, which takes seconds.
  double unload_in_use_penalty = 0.3;
  /// How long a loaded adapter is not evicted.
  absl::Duration min_adapter_residency = absl::Seconds(2);
  /// Load of the engine with a model's only copy, in the mean of all engines,
  /// above which the model gets another copy.
  double crowded_engine_factor = 1.6;
  /// Moves of idle models that are in progress at a time. Each costs a load
  /// and an unload.
  int max_moves = 2;
  /// Adapters that are preloaded in one round. Limits how many engines are busy
  /// with such orders when an adapter in demand needs one.
  int max_preloads = 8;
};

/// Decides which models and adapters each engine loads. Not thread-safe.
///
/// Every model keeps at least one copy. A copy is evicted only to make room for
/// another model. Idle models that load fast are packed together, and are moved
/// where this makes room for a model in demand. Models take seconds to load, so
/// copies are added when load rises, before requests wait. Adapters load in
/// milliseconds and are loaded when requests need them; free adapter slots get
/// those that no engine holds, for the seconds in which there is no leader to
/// order a load.
class ResidencyPlanner {
 public:
  ResidencyPlanner(ResidencyOptions options, Clock clock);

  /// Returns the next changes. An engine gets at most one change of a model,
  /// and none if it is busy.
  /// @param model_loads how many loads from the weight store may begin now
  /// Complexity: O(models * engines + adapters * copies of their models).
  std::vector<ResidencyChange> Plan(absl::Span<const DemandedModel> models,
                                    absl::Span<const DemandedAdapter> adapters,
                                    absl::Span<const EngineResidency> engines,
                                    int model_loads);

 private:
  struct Round;
  struct FreeRoom;
  /// Which engines a load may use.
  enum class WeightSource {
    kCache,        ///< those that keep the model's weights
    kCountedLoad,  ///< those where a load from the store is counted already
    kStore,        ///< all
  };

  double AddCopyThreshold(const DemandedModel& model) const;
  double SpareCopyLoadLimit(const DemandedModel& victim) const;
  bool IsIdle(const DemandedModel& model) const;
  bool IsCrowded(const Round& round, const DemandedModel& model) const;
  bool NeedsCopy(const Round& round, const DemandedModel& model) const;
  bool HasPriority(const Round& round, const DemandedModel& one,
                   const DemandedModel& other) const;
  std::size_t MostUrgentModel(
      const Round& round, absl::Span<const DemandedModel* const> needy) const;
  void PlanModels(Round& round, int model_loads);
  EngineResidency* BestEngineFor(Round& round, const DemandedModel& model,
                                 WeightSource source);
  bool AddCopy(Round& round, const DemandedModel& model, WeightSource source);
  double LoadingCost(const EngineResidency& engine,
                     const DemandedModel& model) const;
  double EvictionCost(const Round& round, const EngineResidency& engine,
                      const std::string& name) const;
  void RecordLoading(const Round& round);
  static double EvictionLoadLimit(const Round& round,
                                  const DemandedModel& victim,
                                  const DemandedModel& wanted);
  bool MayEvict(const Round& round, const EngineResidency& engine,
                const std::string& name, const DemandedModel& wanted) const;
  bool IsProtected(std::string_view engine, std::string_view model,
                   std::string_view adapter,
                   absl::Duration min_residency) const;
  bool MakeRoom(Round& round, const DemandedModel& model);
  bool MayMakeRoomByMove(const Round& round, const EngineResidency& engine,
                         const std::string& name,
                         const DemandedModel& wanted) const;
  bool MoveIdleModel(Round& round, const DemandedModel& wanted);
  void PlanAdapters(Round& round);
  void AddAdapter(Round& round, const DemandedAdapter& wanted);
  bool EvictAdapter(Round& round, EngineResidency& engine,
                    const DemandedAdapter& wanted);
  void PreloadAdapters(Round& round);

  const ResidencyOptions options;
  const Clock clock;
  /// When the load of a model or adapter at an engine was ordered or last seen
  /// in progress; keys are "engine model/adapter".
  std::map<std::string, Instant> loaded_at;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RESIDENCY_PLANNER_H_
