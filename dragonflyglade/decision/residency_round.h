#ifndef DRAGONFLYGLADE_DECISION_RESIDENCY_ROUND_H_
#define DRAGONFLYGLADE_DECISION_RESIDENCY_ROUND_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/residency_planner.h"

namespace dragonflyglade {

/// Identifies a copy of a model or adapter at an engine.
inline std::string ResidencyKey(std::string_view engine, std::string_view model,
                                std::string_view adapter) {
  std::string name(engine);
  return name.append(" ").append(model).append("/").append(adapter);
}

/// Engine load that each resident adapter adds when engines are compared.
inline constexpr double kLoadPerAdapter = 0.05;

inline int AdapterCount(const EngineResidency& engine) {
  int count = 0;
  for (const auto& [model, adapters] : engine.models) {
    count += static_cast<int>(adapters.size());
  }
  return count;
}

/// The engine with the most free memory, and the most that another one has.
struct ResidencyPlanner::FreeRoom {
  const EngineResidency* emptiest = nullptr;
  double most_mb = 0;
  double second_mb = 0;

  double OutsideMb(const EngineResidency& engine) const {
    return &engine == this->emptiest ? this->second_mb : this->most_mb;
  }
};

/// Working state of one planning round: a copy of the engines' residency to
/// which the planned changes are applied.
struct ResidencyPlanner::Round {
  std::map<std::string, const DemandedModel*, std::less<>> models;
  std::map<std::string, const DemandedAdapter*> adapters;
  std::vector<EngineResidency> engines;
  /// Copies of each model, including those that are being loaded.
  std::map<std::string, int, std::less<>> copies;
  /// Copies of each model that serve requests.
  std::map<std::string, int, std::less<>> ready_copies;
  std::vector<double> engine_loads;  ///< by index of the engine
  double mean_engine_load = 0;
  std::vector<double> free_mb;  ///< for models; by index of the engine
  /// Idle models that have a copy which serves and one that loads.
  std::set<std::string_view> moving_models;
  /// Number of adapters in demand of each model.
  std::map<std::string, int, std::less<>> adapter_demand_count;
  int adapter_slots = 0;  ///< the most of any engine
  /// Usable engines that hold each model, after the planning of models.
  std::map<std::string, std::vector<EngineResidency*>, std::less<>>
      engines_by_model;
  std::vector<ResidencyChange> changes;

  double UsedMb(const EngineResidency& engine) const {
    double used_mb = 0;
    for (const auto& [name, resident_adapters] : engine.models) {
      const auto model = this->models.find(name);
      if (model == this->models.end()) continue;
      used_mb += model->second->memory_mb +
                 static_cast<double>(resident_adapters.size()) *
                     model->second->adapter_mb;
    }
    return used_mb;
  }

  double ModelLoad(const std::string& model) const {
    const auto found = this->models.find(model);
    return found == this->models.end() ? 0 : found->second->load;
  }

  int CopyCount(const std::string& model) const {
    const auto found = this->copies.find(model);
    return found == this->copies.end() ? 0 : found->second;
  }

  int ReadyCopies(const std::string& model) const {
    const auto found = this->ready_copies.find(model);
    return found == this->ready_copies.end() ? 0 : found->second;
  }

  // Load of the model per copy.
  double LoadPerCopy(const DemandedModel& model) const {
    return model.load / std::max(1, this->CopyCount(model.name));
  }

  // If many engines are limited, the others have no room for all models in
  // demand, and would load and unload them in turn.
  void IgnoreCommonLimits() {
    constexpr std::ptrdiff_t kMaxLimitedPart = 3;  // one in so many
    const auto limited = std::count_if(
        this->engines.begin(), this->engines.end(),
        [](const auto& one) { return one.usable && one.limited; });
    const auto usable =
        std::count_if(this->engines.begin(), this->engines.end(),
                      [](const auto& one) { return one.usable; });
    if (limited * kMaxLimitedPart <= usable) return;
    for (EngineResidency& engine : this->engines) engine.limited = false;
  }

  int UnloadingEngines() const {
    return static_cast<int>(
        std::count_if(this->engines.begin(), this->engines.end(),
                      [](const auto& engine) { return engine.unloading; }));
  }

  // Memory that is free for models, while models are planned.
  double FreeMb(const EngineResidency& engine) const {
    return this->free_mb[&engine - this->engines.data()];
  }

  void AddFreeMb(const EngineResidency& engine, double change_mb) {
    this->free_mb[&engine - this->engines.data()] += change_mb;
  }

  // Over engines that may take an order.
  FreeRoom LargestFreeRoom() const {
    FreeRoom room;
    for (const EngineResidency& engine : this->engines) {
      if (!engine.usable || engine.limited || engine.has_open_order) continue;
      const double engine_mb = this->FreeMb(engine);
      if (engine_mb > room.most_mb) {
        room = {&engine, engine_mb, room.most_mb};
      } else {
        room.second_mb = std::max(room.second_mb, engine_mb);
      }
    }
    return room;
  }

  // Engines at which an idle model that is served elsewhere loads.
  int MovesInProgress() const {
    return static_cast<int>(std::count_if(
        this->engines.begin(), this->engines.end(), [&](const auto& engine) {
          return this->moving_models.count(engine.loading) > 0;
        }));
  }

  double EngineLoad(const EngineResidency& engine) const {
    return this->engine_loads[&engine - this->engines.data()];
  }

  // Cost of another adapter at the engine, in engine load.
  double AdapterPlacementCost(const EngineResidency& engine) const {
    return this->EngineLoad(engine) + kLoadPerAdapter * AdapterCount(engine);
  }

  // Whether the engine can hold as many models with another adapter as
  // without it.
  bool KeepsRoomForModels(const EngineResidency& engine,
                          double adapter_mb) const {
    const double free_mb = engine.memory_mb - this->UsedMb(engine);
    const double left_mb = free_mb - adapter_mb;
    return left_mb >= 0 &&
           std::none_of(
               this->models.begin(), this->models.end(), [&](const auto& item) {
                 const DemandedModel& model = *item.second;
                 return engine.models.count(model.name) == 0 &&
                        model.memory_mb <= free_mb && model.memory_mb > left_mb;
               });
  }

  // Whether a slot is left after another adapter, so that an adapter in demand
  // need not wait until one is unloaded.
  bool MayPreload(const EngineResidency& engine,
                  const DemandedModel& model) const {
    return engine.responsive && !engine.limited && !engine.has_open_order &&
           AdapterCount(engine) + 1 < engine.adapter_slots &&
           this->KeepsRoomForModels(engine, model.adapter_mb);
  }

  // Adapters of the model that no engine holds.
  std::vector<std::string_view> MissingAdapters(
      const DemandedModel& model) const {
    std::set<std::string_view> resident;
    const auto engines = this->engines_by_model.find(model.name);
    if (engines == this->engines_by_model.end()) return {};
    for (const EngineResidency* engine : engines->second) {
      const auto& adapters = engine->models.at(model.name);
      resident.insert(adapters.begin(), adapters.end());
    }
    std::vector<std::string_view> missing;
    for (const std::string& adapter : model.adapters) {
      if (resident.count(adapter) == 0) missing.push_back(adapter);
    }
    return missing;
  }

  void CountEngineLoads() {
    this->engine_loads.clear();
    double sum = 0;
    for (const EngineResidency& engine : this->engines) {
      double load = 0;
      for (const auto& [name, adapters] : engine.models) {
        if (engine.closing.count(name) > 0) continue;
        load += this->ModelLoad(name) / std::max(1, this->CopyCount(name));
      }
      this->engine_loads.push_back(load);
      this->free_mb.push_back(engine.memory_mb - this->UsedMb(engine));
      sum += load;
    }
    this->mean_engine_load = sum / static_cast<double>(std::max<std::size_t>(
                                       1, this->engines.size()));
  }

  // Counts a new copy and divides the model's load among all its copies.
  void RecordNewCopy(const EngineResidency& added, const DemandedModel& model) {
    const int previous_copies = this->copies[model.name]++;
    const double share = model.load / (previous_copies + 1);
    const double change =
        previous_copies == 0 ? 0 : share - model.load / previous_copies;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      if (this->engines[i].models.count(model.name) == 0) continue;
      this->engine_loads[i] += &this->engines[i] == &added ? share : change;
    }
  }
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RESIDENCY_ROUND_H_
