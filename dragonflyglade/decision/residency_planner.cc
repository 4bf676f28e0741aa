#include "dragonflyglade/decision/residency_planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace dragonflyglade {
namespace {

// Adapters in demand per adapter slot above which a model gets another copy.
// The slots are shared with adapters of other models.
constexpr double kMaxAdaptersPerSlot = 1.5;

std::string ResidencyKey(std::string_view engine, std::string_view model,
                         std::string_view adapter) {
  std::string name(engine);
  return name.append(" ").append(model).append("/").append(adapter);
}

bool KeepsWeights(const EngineResidency& engine, std::string_view model) {
  return engine.in_memory.count(model) > 0 || engine.on_disk.count(model) > 0;
}

bool IsModelInUse(const EngineResidency& engine, std::string_view model) {
  return std::any_of(engine.in_use.begin(), engine.in_use.end(),
                     [&](std::string_view key) {
                       return key.substr(0, key.find('/')) == model;
                     });
}

// Engine load that each resident adapter adds when engines are compared.
constexpr double kLoadPerAdapter = 0.05;

int AdapterCount(const EngineResidency& engine) {
  int count = 0;
  for (const auto& [model, adapters] : engine.models) {
    count += static_cast<int>(adapters.size());
  }
  return count;
}

}  // namespace

// Working state of one planning round: a copy of the engines' residency to
// which the planned changes are applied.
struct ResidencyPlanner::Round {
  std::map<std::string, const DemandedModel*, std::less<>> models;
  std::map<std::string, const DemandedAdapter*> adapters;
  std::vector<EngineResidency> engines;
  /// Copies of each model, including those that are being loaded.
  std::map<std::string, int, std::less<>> copies;
  /// Copies of each model that serve requests.
  std::map<std::string, int, std::less<>> ready_copies;
  std::vector<double> engine_loads;  ///< by index of the engine
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
    for (const EngineResidency& engine : this->engines) {
      double load = 0;
      for (const auto& [name, adapters] : engine.models) {
        load += this->ModelLoad(name) / std::max(1, this->CopyCount(name));
      }
      this->engine_loads.push_back(load);
    }
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

ResidencyPlanner::ResidencyPlanner(ResidencyOptions options, Clock clock)
    : options(options), clock(std::move(clock)) {}

std::vector<ResidencyChange> ResidencyPlanner::Plan(
    absl::Span<const DemandedModel> models,
    absl::Span<const DemandedAdapter> adapters,
    absl::Span<const EngineResidency> engines, int model_loads) {
  Round round;
  round.engines.assign(engines.begin(), engines.end());
  for (const DemandedModel& model : models) round.models[model.name] = &model;
  for (const DemandedAdapter& adapter : adapters) {
    round.adapters[absl::StrCat(adapter.model, "/", adapter.adapter)] =
        &adapter;
    round.adapter_demand_count[adapter.model] += 1;
  }
  for (const EngineResidency& engine : engines) {
    round.adapter_slots = std::max(round.adapter_slots, engine.adapter_slots);
  }
  round.IgnoreCommonLimits();
  for (const EngineResidency& engine : round.engines) {
    if (!engine.usable) continue;
    for (const auto& [name, resident_adapters] : engine.models) {
      if (engine.limited && round.ModelLoad(name) > 0) continue;
      round.copies[name] += 1;
      const bool serves = name != engine.loading && engine.responsive;
      if (serves) round.ready_copies[name] += 1;
    }
  }
  round.CountEngineLoads();
  this->RecordLoading(round);
  this->PlanModels(round, model_loads);
  this->PlanAdapters(round);
  this->PreloadAdapters(round);
  return std::move(round.changes);
}

bool ResidencyPlanner::NeedsCopy(const Round& round,
                                 const DemandedModel& model) const {
  const int copies = round.CopyCount(model.name);
  const bool busy = round.LoadPerCopy(model) > this->options.add_copy_threshold;
  // Adapters in demand need slots at engines that hold their model.
  const auto adapters = round.adapter_demand_count.find(model.name);
  const bool lacks_slots =
      adapters != round.adapter_demand_count.end() &&
      adapters->second > kMaxAdaptersPerSlot * copies * round.adapter_slots;
  return copies == 0 || busy || lacks_slots;
}

// Models without any copy go first, ordered by their waiting requests, then
// models by load per copy. Requests that wait while a copy is being loaded do
// not count. Otherwise a rarely used model with a few such requests would get
// its third copy before the model with most of the demand gets its second.
bool ResidencyPlanner::HasPriority(const Round& round, const DemandedModel& one,
                                   const DemandedModel& other) const {
  const auto key = [&](const DemandedModel& model) {
    const bool has_no_copy = round.CopyCount(model.name) == 0;
    return std::make_tuple(has_no_copy,
                           has_no_copy ? model.waiting_requests : 0,
                           round.LoadPerCopy(model));
  };
  return key(one) > key(other);
}

const DemandedModel* ResidencyPlanner::MostUrgentModel(
    const Round& round, const std::set<std::string_view>& blocked) const {
  const DemandedModel* best = nullptr;
  for (const auto& [name, model] : round.models) {
    if (blocked.count(name) > 0 || !this->NeedsCopy(round, *model)) continue;
    if (best != nullptr && !this->HasPriority(round, *model, *best)) continue;
    best = model;
  }
  return best;
}

// Adds one copy at a time for the model that needs it most, so that a model
// with ten times the demand of others gets several copies before they get their
// second.
void ResidencyPlanner::PlanModels(Round& round, int model_loads) {
  // Unloads that are in progress make room for loads that may begin soon.
  // Without this limit, every round until the first unload has ended would
  // evict one more copy.
  int evictions = std::max(1, model_loads) - round.UnloadingEngines();
  std::set<std::string_view> blocked;
  while (const DemandedModel* model = this->MostUrgentModel(round, blocked)) {
    if (this->AddCopy(round, *model, false)) continue;
    const bool fits = this->BestEngineFor(round, *model, true) != nullptr;
    if (fits && model_loads > 0 && this->AddCopy(round, *model, true)) {
      model_loads -= 1;
      continue;
    }
    if (!fits && evictions > 0 && this->MakeRoom(round, *model)) evictions -= 1;
    blocked.insert(model->name);
  }
}

// Cost of waiting until the model is loaded at the engine, in engine load.
double ResidencyPlanner::LoadingCost(const EngineResidency& engine,
                                     const DemandedModel& model) const {
  absl::Duration loading_time = model.load_time_from_store;
  if (engine.on_disk.count(model.name) > 0)
    loading_time = model.load_time_from_disk;
  if (engine.in_memory.count(model.name) > 0)
    loading_time = model.load_time_from_memory;
  return this->options.loading_penalty_per_second *
         absl::ToDoubleSeconds(loading_time);
}

// The best engine with enough memory for a new copy, or null. Without
// from_store only engines that keep the model's weights in memory or on disk.
EngineResidency* ResidencyPlanner::BestEngineFor(Round& round,
                                                 const DemandedModel& model,
                                                 bool from_store) {
  EngineResidency* best = nullptr;
  double best_cost = 0;
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable || engine.limited || engine.has_open_order) continue;
    if (engine.models.count(model.name) > 0) continue;
    if (!from_store && !KeepsWeights(engine, model.name)) continue;
    if (round.UsedMb(engine) + model.memory_mb > engine.memory_mb) continue;
    const double cost =
        round.EngineLoad(engine) + this->LoadingCost(engine, model);
    if (best != nullptr && cost >= best_cost) continue;
    best = &engine;
    best_cost = cost;
  }
  return best;
}

bool ResidencyPlanner::AddCopy(Round& round, const DemandedModel& model,
                               bool from_store) {
  EngineResidency* best = this->BestEngineFor(round, model, from_store);
  if (best == nullptr) return false;
  const bool keeps_weights = KeepsWeights(*best, model.name);
  best->models[model.name];
  best->has_open_order = true;
  round.RecordNewCopy(*best, model);
  this->loaded_at[ResidencyKey(best->id, model.name, "")] = this->clock.Now();
  round.changes.push_back(
      {ResidencyChange::Kind::kLoad, best->id, model.name, "", !keeps_weights});
  return true;
}

bool ResidencyPlanner::IsProtected(std::string_view engine,
                                   std::string_view model,
                                   std::string_view adapter,
                                   absl::Duration min_residency) const {
  const auto loaded =
      this->loaded_at.find(ResidencyKey(engine, model, adapter));
  return loaded != this->loaded_at.end() &&
         this->clock.Now() - loaded->second < min_residency;
}

// Whether the copy of the model `name` at the engine may be evicted for the
// wanted model. Copies that are being loaded or are at an unresponsive engine
// do not count as remaining copies. Otherwise a model in demand could lose its
// only copy that serves requests, and for seconds its requests would find none.
bool ResidencyPlanner::MayEvict(const Round& round,
                                const EngineResidency& engine,
                                const std::string& name,
                                const DemandedModel& wanted) const {
  const auto victim = round.models.find(name);
  if (victim == round.models.end()) return false;
  const int remaining = round.ReadyCopies(name) - 1;
  if (name == engine.loading || remaining < 1) return false;
  if (this->IsProtected(engine.id, name, "", this->options.min_model_residency))
    return false;
  const double load = victim->second->load / remaining;
  // If the victim is in demand, its remaining copies must have far less load
  // than the wanted model's copies will have. Otherwise two models that need
  // more copies would evict each other's, and a copy that is being loaded
  // serves neither.
  const double after = wanted.load / (round.CopyCount(wanted.name) + 1);
  return load <= this->options.spare_copy_load_limit || load < 0.5 * after;
}

// The time for which a copy is not evicted begins when it is loaded, because
// loading it from the store can take as long as that time.
void ResidencyPlanner::RecordLoading(const Round& round) {
  for (const EngineResidency& engine : round.engines) {
    if (engine.loading.empty()) continue;
    this->loaded_at[ResidencyKey(engine.id, engine.loading, "")] =
        this->clock.Now();
  }
}

// Cost of evicting a copy, in engine load: the load per remaining copy, and the
// wait until requests that use the copy have ended.
double ResidencyPlanner::EvictionCost(const Round& round,
                                      const EngineResidency& engine,
                                      const std::string& name) const {
  const double load_per_remaining_copy =
      round.models.at(name)->load / std::max(1, round.ReadyCopies(name) - 1);
  const double in_use_penalty =
      IsModelInUse(engine, name) ? this->options.unload_in_use_penalty : 0;
  return load_per_remaining_copy + in_use_penalty;
}

// Evicts the copy with the least cost, at an engine where that frees enough
// memory. The load follows in a later round, when the copy is unloaded.
bool ResidencyPlanner::MakeRoom(Round& round, const DemandedModel& model) {
  EngineResidency* best = nullptr;
  std::string best_victim;
  double best_cost = std::numeric_limits<double>::max();
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable || engine.limited || engine.has_open_order) continue;
    if (engine.models.count(model.name) > 0) continue;
    const double missing_mb =
        round.UsedMb(engine) + model.memory_mb - engine.memory_mb;
    for (const auto& [name, resident_adapters] : engine.models) {
      if (!this->MayEvict(round, engine, name, model)) continue;
      const DemandedModel& victim = *round.models.at(name);
      if (victim.memory_mb < missing_mb) continue;
      const double cost = this->EvictionCost(round, engine, name) +
                          round.EngineLoad(engine) +
                          this->LoadingCost(engine, model);
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = &engine;
      best_victim = name;
    }
  }
  if (best == nullptr) return false;
  best->models.erase(best_victim);
  best->has_open_order = true;
  round.copies[best_victim] -= 1;
  round.ready_copies[best_victim] -= 1;
  round.changes.push_back(
      {ResidencyChange::Kind::kUnload, best->id, best_victim, ""});
  return true;
}

void ResidencyPlanner::PlanAdapters(Round& round) {
  std::vector<const DemandedAdapter*> wanted;
  for (const auto& [name, adapter] : round.adapters) {
    wanted.push_back(adapter);
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const DemandedAdapter* one, const DemandedAdapter* other) {
              return std::make_pair(-one->waiting_requests, -one->load) <
                     std::make_pair(-other->waiting_requests, -other->load);
            });
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable) continue;
    for (const auto& [name, resident_adapters] : engine.models) {
      round.engines_by_model[name].push_back(&engine);
    }
  }
  for (const DemandedAdapter* adapter : wanted)
    this->AddAdapter(round, *adapter);
}

void ResidencyPlanner::AddAdapter(Round& round, const DemandedAdapter& wanted) {
  int copies = 0;
  std::vector<EngineResidency*> candidates;
  for (EngineResidency* engine : round.engines_by_model[wanted.model]) {
    if (engine->models.at(wanted.model).count(wanted.adapter) > 0) {
      copies += 1;
    } else if (!engine->has_open_order) {
      candidates.push_back(engine);
    }
  }
  const bool needs_second_copy =
      copies == 1 &&
      wanted.load / copies > this->options.second_adapter_load_threshold;
  if (copies > 0 && !needs_second_copy) return;
  std::sort(candidates.begin(), candidates.end(),
            [&](const EngineResidency* one, const EngineResidency* other) {
              const auto key = [&](const EngineResidency* engine) {
                return std::make_pair(
                    AdapterCount(*engine) >= engine->adapter_slots,
                    round.AdapterPlacementCost(*engine));
              };
              return key(one) < key(other);
            });
  const auto model = round.models.find(wanted.model);
  if (model == round.models.end()) return;
  for (EngineResidency* engine : candidates) {
    const bool has_slot = AdapterCount(*engine) < engine->adapter_slots;
    const bool has_memory =
        round.UsedMb(*engine) + model->second->adapter_mb <= engine->memory_mb;
    if (has_slot && has_memory) {
      engine->models[wanted.model].insert(wanted.adapter);
      this->loaded_at[ResidencyKey(engine->id, wanted.model, wanted.adapter)] =
          this->clock.Now();
      round.changes.push_back({ResidencyChange::Kind::kLoad, engine->id,
                               wanted.model, wanted.adapter});
      return;
    }
    if (this->EvictAdapter(round, *engine, wanted)) return;
  }
}

// Evicts the adapter with the least load that no request uses or waits for. Its
// load must be less than the wanted adapter's, unless requests wait for that
// one. So a second copy does not evict an adapter in greater demand.
bool ResidencyPlanner::EvictAdapter(Round& round, EngineResidency& engine,
                                    const DemandedAdapter& wanted) {
  std::optional<std::pair<std::string, std::string>> victim;
  double min_load = wanted.waiting_requests > 0
                        ? std::numeric_limits<double>::max()
                        : wanted.load;
  for (const auto& [model, adapters] : engine.models) {
    for (const std::string& adapter : adapters) {
      if (this->IsProtected(engine.id, model, adapter,
                            this->options.min_adapter_residency)) {
        continue;
      }
      const auto demand =
          round.adapters.find(absl::StrCat(model, "/", adapter));
      const double load =
          demand == round.adapters.end() ? 0 : demand->second->load;
      const bool has_waiting_requests = demand != round.adapters.end() &&
                                        demand->second->waiting_requests > 0;
      // Unloading an adapter in use would wait until its requests have ended,
      // and the engine would take no other order meanwhile.
      const bool in_use =
          engine.in_use.count(absl::StrCat(model, "/", adapter)) > 0;
      if (has_waiting_requests || in_use || load >= min_load) continue;
      min_load = load;
      victim = {model, adapter};
    }
  }
  if (!victim.has_value()) return false;
  engine.models[victim->first].erase(victim->second);
  this->loaded_at.erase(ResidencyKey(engine.id, victim->first, victim->second));
  round.changes.push_back({ResidencyChange::Kind::kUnload, engine.id,
                           victim->first, victim->second});
  return true;
}

// Without a leader no adapter can be loaded, and requests for one that no
// engine holds are refused. Preloaded adapters are the first to be evicted,
// since they have no load.
void ResidencyPlanner::PreloadAdapters(Round& round) {
  std::vector<const DemandedModel*> models;
  for (const auto& [name, model] : round.models) models.push_back(model);
  std::stable_sort(models.begin(), models.end(),
                   [](const DemandedModel* one, const DemandedModel* other) {
                     return one->load > other->load;
                   });
  int preloads = this->options.max_preloads;
  for (const DemandedModel* model : models) {
    const std::vector<std::string_view> missing = round.MissingAdapters(*model);
    if (missing.empty()) continue;
    std::vector<EngineResidency*> engines;
    for (EngineResidency* engine : round.engines_by_model[model->name]) {
      if (round.MayPreload(*engine, *model)) engines.push_back(engine);
    }
    std::sort(engines.begin(), engines.end(),
              [&](const EngineResidency* one, const EngineResidency* other) {
                return round.AdapterPlacementCost(*one) <
                       round.AdapterPlacementCost(*other);
              });
    for (std::size_t i = 0; i < std::min(missing.size(), engines.size()); ++i) {
      if (preloads == 0) return;
      preloads -= 1;
      const std::string adapter(missing[i]);
      engines[i]->models[model->name].insert(adapter);
      engines[i]->has_open_order = true;
      round.changes.push_back(
          {ResidencyChange::Kind::kLoad, engines[i]->id, model->name, adapter});
    }
  }
}

}  // namespace dragonflyglade
