#include "dragonflyglade/decision/residency_planner.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/load_time.h"
#include "dragonflyglade/decision/residency_round.h"

namespace dragonflyglade {
namespace {

// Adapters in demand per adapter slot above which a model gets another copy.
// The slots are shared with adapters of other models.
constexpr double kMaxAdaptersPerSlot = 1.5;

bool KeepsWeights(const EngineResidency& engine, std::string_view model) {
  return engine.in_memory.count(model) > 0 || engine.on_disk.count(model) > 0;
}

double RemainingLoad(const DemandedModel& model) {
  return model.remaining_load.value_or(model.load);
}

bool IsFastToLoad(const DemandedModel& model) {
  return model.load_time_from_store < kFixedLoadTime;
}

bool IsModelInUse(const EngineResidency& engine, std::string_view model) {
  return std::any_of(engine.in_use.begin(), engine.in_use.end(),
                     [&](std::string_view key) {
                       return key.substr(0, key.find('/')) == model;
                     });
}

}  // namespace

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
      if (engine.closing.count(name) > 0) continue;
      round.copies[name] += 1;
      const bool serves = name != engine.loading && engine.responsive;
      if (serves) round.ready_copies[name] += 1;
    }
  }
  round.CountEngineLoads();
  for (const EngineResidency& engine : round.engines) {
    const auto loading = round.models.find(engine.loading);
    if (loading == round.models.end()) continue;
    if (round.ReadyCopies(engine.loading) == 0) continue;
    if (this->IsIdle(*loading->second))
      round.moving_models.insert(loading->first);
  }
  this->RecordLoading(round);
  this->PlanModels(round, model_loads);
  this->PlanAdapters(round);
  this->PreloadAdapters(round);
  return std::move(round.changes);
}

double ResidencyPlanner::AddCopyThreshold(const DemandedModel& model) const {
  return this->options.add_copy_threshold *
         LoadTimeFactor(model.load_time_from_store);
}

double ResidencyPlanner::SpareCopyLoadLimit(const DemandedModel& victim) const {
  return this->options.spare_copy_load_limit *
         LoadTimeFactor(victim.load_time_from_store);
}

bool ResidencyPlanner::NeedsCopy(const Round& round,
                                 const DemandedModel& model) const {
  const int copies = round.CopyCount(model.name);
  const bool busy = round.LoadPerCopy(model) > this->AddCopyThreshold(model);
  // Adapters in demand need slots at engines that hold their model.
  const auto adapters = round.adapter_demand_count.find(model.name);
  const bool lacks_slots =
      adapters != round.adapter_demand_count.end() &&
      adapters->second > kMaxAdaptersPerSlot * copies * round.adapter_slots;
  return copies == 0 || busy || lacks_slots || this->IsCrowded(round, model);
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

// Index of the model that needs a copy most. There must be one.
std::size_t ResidencyPlanner::MostUrgentModel(
    const Round& round, absl::Span<const DemandedModel* const> needy) const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < needy.size(); ++i) {
    if (this->HasPriority(round, *needy[i], *needy[best])) best = i;
  }
  return best;
}

bool ResidencyPlanner::IsIdle(const DemandedModel& model) const {
  return IsFastToLoad(model) && model.load <= this->SpareCopyLoadLimit(model);
}

// Whether the model's only copy is at an engine that is busy with other models,
// or where requests wait.
bool ResidencyPlanner::IsCrowded(const Round& round,
                                 const DemandedModel& model) const {
  constexpr double kPartOfThreshold = 0.5;
  if (!IsFastToLoad(model) || round.CopyCount(model.name) != 1) return false;
  if (model.load <= kPartOfThreshold * this->AddCopyThreshold(model))
    return false;
  const double limit =
      std::max(this->options.add_copy_threshold,
               this->options.crowded_engine_factor * round.mean_engine_load);
  return std::any_of(
      round.engines.begin(), round.engines.end(), [&](const auto& engine) {
        return engine.usable && engine.models.count(model.name) > 0 &&
               engine.closing.count(model.name) == 0 &&
               (round.EngineLoad(engine) > limit ||
                engine.waiting_requests > 0);
      });
}

// Adds one copy at a time for the model that needs it most, so that a model
// with ten times the demand of others gets several copies before they get their
// second.
void ResidencyPlanner::PlanModels(Round& round, int model_loads) {
  // Unloads that are in progress make room for loads that may begin soon.
  // Without this limit, every round until the first unload has ended would
  // evict one more copy.
  int evictions = std::max(1, model_loads) - round.UnloadingEngines();
  int moves = this->options.max_moves - round.MovesInProgress();
  std::vector<const DemandedModel*> needy;
  for (const auto& [name, model] : round.models) {
    if (this->NeedsCopy(round, *model)) needy.push_back(model);
  }
  while (!needy.empty()) {
    const std::size_t index = this->MostUrgentModel(round, needy);
    const DemandedModel* model = needy[index];
    if (!this->NeedsCopy(round, *model)) {
      needy.erase(needy.begin() + static_cast<std::ptrdiff_t>(index));
      continue;
    }
    if (this->AddCopy(round, *model, WeightSource::kCache)) continue;
    const bool fits =
        this->BestEngineFor(round, *model, WeightSource::kStore) != nullptr;
    if (fits && model_loads > 0 &&
        this->AddCopy(round, *model, WeightSource::kStore)) {
      model_loads -= 1;
      continue;
    }
    if (this->AddCopy(round, *model, WeightSource::kCountedLoad)) continue;
    if (!fits && evictions > 0 && this->MakeRoom(round, *model)) {
      evictions -= 1;
    } else if (!fits && moves > 0 && model_loads > 0) {
      const bool moved = this->MoveIdleModel(round, *model);
      if (moved && round.changes.back().uses_store) model_loads -= 1;
      // Less urgent models hardly find a move where this one finds none.
      moves = moved ? moves - 1 : 0;
    }
    needy.erase(needy.begin() + static_cast<std::ptrdiff_t>(index));
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

// The best engine with enough memory for a new copy, or null.
EngineResidency* ResidencyPlanner::BestEngineFor(Round& round,
                                                 const DemandedModel& model,
                                                 WeightSource source) {
  EngineResidency* best = nullptr;
  double best_cost = 0;
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable || engine.limited || engine.has_open_order) continue;
    if (engine.models.count(model.name) > 0) continue;
    if (source == WeightSource::kCache && !KeepsWeights(engine, model.name))
      continue;
    if (source == WeightSource::kCountedLoad && !engine.load_is_counted)
      continue;
    if (model.memory_mb > round.FreeMb(engine)) continue;
    double cost = round.EngineLoad(engine) + this->LoadingCost(engine, model);
    // Gaps that no other model fits in are of no use for models in demand.
    if (this->IsIdle(model))
      cost += (round.FreeMb(engine) - model.memory_mb) / engine.memory_mb;
    if (best != nullptr && cost >= best_cost) continue;
    best = &engine;
    best_cost = cost;
  }
  return best;
}

bool ResidencyPlanner::AddCopy(Round& round, const DemandedModel& model,
                               WeightSource source) {
  EngineResidency* best = this->BestEngineFor(round, model, source);
  if (best == nullptr) return false;
  const bool keeps_weights = KeepsWeights(*best, model.name);
  best->models[model.name];
  best->has_open_order = true;
  round.AddFreeMb(*best, -model.memory_mb);
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

// The load per remaining copy below which a copy of a model in demand may be
// evicted for the wanted model. It must be far less than the wanted model's
// copies will have. Otherwise two models that need more copies would evict each
// other's, and a copy that is being loaded serves neither. Where loads are
// fast, a model with many copies gives them up sooner: it must have less load
// per copy afterwards than the wanted model has now, so that none of the two
// wants the copy back.
double ResidencyPlanner::EvictionLoadLimit(const Round& round,
                                           const DemandedModel& victim,
                                           const DemandedModel& wanted) {
  constexpr double kPartOfLoadAfter = 0.5;
  constexpr double kPartOfLoadBefore = 0.5;
  const double after = wanted.load / (round.CopyCount(wanted.name) + 1);
  const double factor = LoadTimeFactor(
      std::max(wanted.load_time_from_store, victim.load_time_from_store));
  return factor * kPartOfLoadAfter * after +
         (1 - factor) * kPartOfLoadBefore * round.LoadPerCopy(wanted);
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
  if (name == engine.loading || engine.closing.count(name) > 0) return false;
  if (remaining < 1) return false;
  const double load = RemainingLoad(*victim->second) / remaining;
  if (load > this->SpareCopyLoadLimit(*victim->second) &&
      load >= EvictionLoadLimit(round, *victim->second, wanted)) {
    return false;
  }
  const absl::Duration min_residency =
      this->options.min_model_residency *
      LoadTimeFactor(victim->second->load_time_from_store);
  return !this->IsProtected(engine.id, name, "", min_residency);
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
      RemainingLoad(*round.models.at(name)) /
      std::max(1, round.ReadyCopies(name) - 1);
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
    const double missing_mb = model.memory_mb - round.FreeMb(engine);
    const double engine_cost =
        round.EngineLoad(engine) + this->LoadingCost(engine, model);
    if (engine_cost >= best_cost) continue;
    for (const auto& [name, resident_adapters] : engine.models) {
      if (!this->MayEvict(round, engine, name, model)) continue;
      const DemandedModel& victim = *round.models.at(name);
      if (victim.memory_mb < missing_mb) continue;
      const double cost = this->EvictionCost(round, engine, name) + engine_cost;
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = &engine;
      best_victim = name;
    }
  }
  if (best == nullptr) return false;
  best->models.erase(best_victim);
  best->has_open_order = true;
  round.AddFreeMb(*best, round.models.at(best_victim)->memory_mb);
  round.copies[best_victim] -= 1;
  round.ready_copies[best_victim] -= 1;
  round.changes.push_back(
      {ResidencyChange::Kind::kUnload, best->id, best_victim, ""});
  return true;
}

// Whether the model `name` is idle and the engine has room for the wanted model
// once it is elsewhere.
bool ResidencyPlanner::MayMakeRoomByMove(const Round& round,
                                         const EngineResidency& engine,
                                         const std::string& name,
                                         const DemandedModel& wanted) const {
  const auto found = round.models.find(name);
  if (found == round.models.end() || !this->IsIdle(*found->second))
    return false;
  if (round.CopyCount(name) != 1 || round.ReadyCopies(name) != 1) return false;
  return wanted.memory_mb <= round.FreeMb(engine) + found->second->memory_mb;
}

// Loads the only copy of an idle model at another engine, into memory that the
// wanted model does not fit in. When that copy is ready, the first one is
// evicted like any spare copy.
bool ResidencyPlanner::MoveIdleModel(Round& round,
                                     const DemandedModel& wanted) {
  if (!IsFastToLoad(wanted)) return false;
  const DemandedModel* moved = nullptr;
  EngineResidency* from = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  const FreeRoom room = round.LargestFreeRoom();
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable || engine.limited || engine.has_open_order) continue;
    if (engine.models.count(wanted.name) > 0) continue;
    const double cost =
        round.EngineLoad(engine) + this->LoadingCost(engine, wanted);
    if (cost >= best_cost) continue;
    for (const auto& [name, resident_adapters] : engine.models) {
      if (!this->MayMakeRoomByMove(round, engine, name, wanted)) continue;
      const DemandedModel* model = round.models.at(name);
      if (model->memory_mb > room.OutsideMb(engine)) continue;
      best_cost = cost;
      moved = model;
      from = &engine;
    }
  }
  if (moved == nullptr || !this->AddCopy(round, *moved, WeightSource::kStore))
    return false;
  from->has_open_order = true;
  return true;
}

}  // namespace dragonflyglade
