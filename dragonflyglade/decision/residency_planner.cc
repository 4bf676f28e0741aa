#include "dragonflyglade/decision/residency_planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace dragonflyglade {
namespace {

// The part of adapter places that a model's adapters may want before it gets
// another copy: adapters of other models share them.
constexpr double kUsedSlots = 1.5;

std::string PlaceName(std::string_view engine, std::string_view model,
                      std::string_view adapter) {
  std::string name(engine);
  return name.append(" ").append(model).append("/").append(adapter);
}

bool Keeps(const EngineResidency& engine, std::string_view model) {
  return engine.in_memory.count(model) > 0 || engine.on_disk.count(model) > 0;
}

bool IsModelInUse(const EngineResidency& engine, std::string_view model) {
  return std::any_of(engine.in_use.begin(), engine.in_use.end(),
                     [&](std::string_view key) {
                       return key.substr(0, key.find('/')) == model;
                     });
}

int AdapterCount(const EngineResidency& engine) {
  int count = 0;
  for (const auto& [model, adapters] : engine.models) {
    count += static_cast<int>(adapters.size());
  }
  return count;
}

}  // namespace

// What one round works on: a copy of the holdings that follows the changes.
struct ResidencyPlanner::Round {
  std::map<std::string, const DemandedModel*, std::less<>> models;
  std::map<std::string, const DemandedAdapter*> adapters;
  std::vector<EngineResidency> engines;
  std::map<std::string, int, std::less<>> copies;       ///< also those loading
  std::map<std::string, int, std::less<>> ready;        ///< those that serve
  std::vector<double> engine_loads;                     ///< by index
  std::map<std::string, int, std::less<>> adapters_of;  ///< asked for
  int adapter_slots = 0;                                ///< of an engine
  /// Usable engines by model, once models are planned.
  std::map<std::string, std::vector<EngineResidency*>, std::less<>> holders;
  std::vector<ResidencyChange> changes;

  double Used(const EngineResidency& engine) const {
    double used = 0;
    for (const auto& [name, held] : engine.models) {
      const auto model = this->models.find(name);
      if (model == this->models.end()) continue;
      used += model->second->memory_mb +
              static_cast<double>(held.size()) * model->second->adapter_mb;
    }
    return used;
  }

  double LoadOf(const std::string& model) const {
    const auto found = this->models.find(model);
    return found == this->models.end() ? 0 : found->second->load;
  }

  int CopiesOf(const std::string& model) const {
    const auto found = this->copies.find(model);
    return found == this->copies.end() ? 0 : found->second;
  }

  int ReadyOf(const std::string& model) const {
    const auto found = this->ready.find(model);
    return found == this->ready.end() ? 0 : found->second;
  }

  // How busy each copy is with the model.
  double PerCopy(const DemandedModel& model) const {
    return model.load / std::max(1, this->CopiesOf(model.name));
  }

  int ClosingEngines() const {
    return static_cast<int>(
        std::count_if(this->engines.begin(), this->engines.end(),
                      [](const auto& engine) { return engine.closing; }));
  }

  double EngineLoad(const EngineResidency& engine) const {
    return this->engine_loads[&engine - this->engines.data()];
  }

  void CountEngineLoads() {
    this->engine_loads.clear();
    for (const EngineResidency& engine : this->engines) {
      double load = 0;
      for (const auto& [name, adapters] : engine.models) {
        load += this->LoadOf(name) / std::max(1, this->CopiesOf(name));
      }
      this->engine_loads.push_back(load);
    }
  }

  // The copies share the model's load anew.
  void CopyAdded(const EngineResidency& added, const DemandedModel& model) {
    const int before = this->copies[model.name]++;
    const double share = model.load / (before + 1);
    const double change = before == 0 ? 0 : share - model.load / before;
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
    round.adapters_of[adapter.model] += 1;
  }
  for (const EngineResidency& engine : engines) {
    round.adapter_slots = std::max(round.adapter_slots, engine.adapter_slots);
  }
  for (const EngineResidency& engine : round.engines) {
    if (!engine.usable) continue;
    for (const auto& [name, held] : engine.models) {
      round.copies[name] += 1;
      const bool serves = name != engine.loading && engine.answers;
      if (serves) round.ready[name] += 1;
    }
  }
  round.CountEngineLoads();
  this->NoteLoading(round);
  this->PlanModels(round, model_loads);
  this->PlanAdapters(round);
  return std::move(round.changes);
}

bool ResidencyPlanner::WantsCopy(const Round& round,
                                 const DemandedModel& model) const {
  const int copies = round.CopiesOf(model.name);
  const bool busy = round.PerCopy(model) > this->options.add_above;
  // Adapters in demand need places beside copies of their model.
  const auto adapters = round.adapters_of.find(model.name);
  const bool crowded =
      adapters != round.adapters_of.end() &&
      adapters->second > kUsedSlots * copies * round.adapter_slots;
  return copies == 0 || busy || crowded;
}

// Models that are nowhere first, those with waiting requests before others,
// then by how busy their copies are. Requests that wait for a copy that is
// under way give no precedence: a rare model with a few of them would get its
// third copy before one with most of the demand gets its second.
bool ResidencyPlanner::IsNeedier(const Round& round, const DemandedModel& one,
                                 const DemandedModel& other) const {
  const auto key = [&](const DemandedModel& model) {
    const bool nowhere = round.CopiesOf(model.name) == 0;
    return std::make_tuple(nowhere, nowhere ? model.waiting : 0,
                           round.PerCopy(model));
  };
  return key(one) > key(other);
}

const DemandedModel* ResidencyPlanner::Neediest(
    const Round& round, const std::set<std::string_view>& stuck) const {
  const DemandedModel* best = nullptr;
  for (const auto& [name, model] : round.models) {
    if (stuck.count(name) > 0 || !this->WantsCopy(round, *model)) continue;
    if (best != nullptr && !this->IsNeedier(round, *model, *best)) continue;
    best = model;
  }
  return best;
}

// One copy at a time to the model that is short of it most, so that a model
// with ten times the demand gets several before others get their second.
void ResidencyPlanner::PlanModels(Round& round, int model_loads) {
  // Room that is being made is for loads that may begin soon. Without this
  // bound, every round until the first unload ends would take one copy more.
  int rooms = std::max(1, model_loads) - round.ClosingEngines();
  std::set<std::string_view> stuck;
  while (const DemandedModel* model = this->Neediest(round, stuck)) {
    if (this->AddCopy(round, *model, false)) continue;
    const bool fits = this->PlaceFor(round, *model, true) != nullptr;
    if (fits && model_loads > 0 && this->AddCopy(round, *model, true)) {
      model_loads -= 1;
      continue;
    }
    if (!fits && rooms > 0 && this->MakeRoom(round, *model)) rooms -= 1;
    stuck.insert(model->name);
  }
}

// What it costs to wait for the load, as load of an engine.
double ResidencyPlanner::LoadingCost(const EngineResidency& engine,
                                     const DemandedModel& model) const {
  absl::Duration time = model.from_store;
  if (engine.on_disk.count(model.name) > 0) time = model.load_time_from_disk;
  if (engine.in_memory.count(model.name) > 0)
    time = model.load_time_from_memory;
  return this->options.loading_penalty_per_second * absl::ToDoubleSeconds(time);
}

// The engine that serves the model best, as far as it has room.
// Without the store, only engines that kept the model's weights.
EngineResidency* ResidencyPlanner::PlaceFor(Round& round,
                                            const DemandedModel& model,
                                            bool from_store) {
  EngineResidency* best = nullptr;
  double best_cost = 0;
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable || engine.busy) continue;
    if (engine.models.count(model.name) > 0) continue;
    if (!from_store && !Keeps(engine, model.name)) continue;
    if (round.Used(engine) + model.memory_mb > engine.memory_mb) continue;
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
  EngineResidency* best = this->PlaceFor(round, model, from_store);
  if (best == nullptr) return false;
  const bool kept = Keeps(*best, model.name);
  best->models[model.name];
  best->busy = true;
  round.CopyAdded(*best, model);
  this->placed_at[PlaceName(best->id, model.name, "")] = this->clock.Now();
  round.changes.push_back(
      {ResidencyChange::Kind::kLoad, best->id, model.name, "", !kept});
  return true;
}

bool ResidencyPlanner::Stays(std::string_view engine, std::string_view model,
                             std::string_view adapter,
                             absl::Duration time) const {
  const auto placed = this->placed_at.find(PlaceName(engine, model, adapter));
  return placed != this->placed_at.end() &&
         this->clock.Now() - placed->second < time;
}

// Whether a copy is missed so little that it may make room for another model.
// Copies that are still loading, or are at an engine that does not answer,
// serve nobody and do not count as the rest: a model in demand would lose its
// only copy that serves while others load, and its callers would find it
// nowhere for seconds.
bool ResidencyPlanner::MayGo(const Round& round, const EngineResidency& engine,
                             const std::string& name,
                             const DemandedModel& wanted) const {
  const auto victim = round.models.find(name);
  if (victim == round.models.end()) return false;
  const int rest = round.ReadyOf(name) - 1;
  if (name == engine.loading || rest < 1) return false;
  if (this->Stays(engine.id, name, "", this->options.min_model_residency))
    return false;
  const double load = victim->second->load / rest;
  // Taken from a model in demand, it must leave that one far better off than
  // the other will be: two models short of copies would take them from each
  // other, and copies that load serve neither.
  const double after = wanted.load / (round.CopiesOf(wanted.name) + 1);
  return load <= this->options.spare_copy_load_limit || load < 0.5 * after;
}

// The time that a copy stays begins when it is there: a load from the store
// takes as long.
void ResidencyPlanner::NoteLoading(const Round& round) {
  for (const EngineResidency& engine : round.engines) {
    if (engine.loading.empty()) continue;
    this->placed_at[PlaceName(engine.id, engine.loading, "")] =
        this->clock.Now();
  }
}

// What it costs to take a copy away: the load that it leaves to the others,
// and the wait for its requests to end.
double ResidencyPlanner::LeavingCost(const Round& round,
                                     const EngineResidency& engine,
                                     const std::string& name) const {
  const double rest =
      round.models.at(name)->load / std::max(1, round.ReadyOf(name) - 1);
  const double wait =
      IsModelInUse(engine, name) ? this->options.unload_in_use_penalty : 0;
  return rest + wait;
}

// Takes away the copy that is missed least, on an engine where that makes
// enough room. The load follows in a later round, when the copy is gone.
bool ResidencyPlanner::MakeRoom(Round& round, const DemandedModel& model) {
  EngineResidency* best = nullptr;
  std::string best_victim;
  double best_cost = std::numeric_limits<double>::max();
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable || engine.busy) continue;
    if (engine.models.count(model.name) > 0) continue;
    const double missing =
        round.Used(engine) + model.memory_mb - engine.memory_mb;
    for (const auto& [name, held] : engine.models) {
      if (!this->MayGo(round, engine, name, model)) continue;
      const DemandedModel& victim = *round.models.at(name);
      if (victim.memory_mb < missing) continue;
      const double cost = this->LeavingCost(round, engine, name) +
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
  best->busy = true;
  round.copies[best_victim] -= 1;
  round.ready[best_victim] -= 1;
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
              return std::make_pair(-one->waiting, -one->load) <
                     std::make_pair(-other->waiting, -other->load);
            });
  for (EngineResidency& engine : round.engines) {
    if (!engine.usable) continue;
    for (const auto& [name, held] : engine.models) {
      round.holders[name].push_back(&engine);
    }
  }
  for (const DemandedAdapter* adapter : wanted)
    this->AddAdapter(round, *adapter);
}

void ResidencyPlanner::AddAdapter(Round& round, const DemandedAdapter& wanted) {
  int copies = 0;
  std::vector<EngineResidency*> holders;
  for (EngineResidency* engine : round.holders[wanted.model]) {
    if (engine->models.at(wanted.model).count(wanted.adapter) > 0) {
      copies += 1;
    } else if (!engine->busy) {
      holders.push_back(engine);
    }
  }
  const bool second =
      copies == 1 &&
      wanted.load / copies > this->options.second_adapter_load_threshold;
  if (copies > 0 && !second) return;
  std::sort(holders.begin(), holders.end(),
            [&](const EngineResidency* one, const EngineResidency* other) {
              const auto key = [&](const EngineResidency* engine) {
                return std::make_pair(
                    AdapterCount(*engine) >= engine->adapter_slots,
                    round.EngineLoad(*engine) + 0.05 * AdapterCount(*engine));
              };
              return key(one) < key(other);
            });
  const auto model = round.models.find(wanted.model);
  if (model == round.models.end()) return;
  for (EngineResidency* engine : holders) {
    const bool has_slot = AdapterCount(*engine) < engine->adapter_slots;
    const bool has_memory =
        round.Used(*engine) + model->second->adapter_mb <= engine->memory_mb;
    if (has_slot && has_memory) {
      engine->models[wanted.model].insert(wanted.adapter);
      this->placed_at[PlaceName(engine->id, wanted.model, wanted.adapter)] =
          this->clock.Now();
      round.changes.push_back({ResidencyChange::Kind::kLoad, engine->id,
                               wanted.model, wanted.adapter});
      return;
    }
    // Only what nobody has asked for gives way to a second copy.
    if (this->EvictAdapter(round, *engine, wanted)) return;
  }
}

bool ResidencyPlanner::EvictAdapter(Round& round, EngineResidency& engine,
                                    const DemandedAdapter& wanted) {
  std::optional<std::pair<std::string, std::string>> victim;
  double least =
      wanted.waiting > 0 ? std::numeric_limits<double>::max() : wanted.load;
  for (const auto& [model, adapters] : engine.models) {
    for (const std::string& adapter : adapters) {
      if (this->Stays(engine.id, model, adapter,
                      this->options.min_adapter_residency)) {
        continue;
      }
      const auto asked = round.adapters.find(absl::StrCat(model, "/", adapter));
      const double load =
          asked == round.adapters.end() ? 0 : asked->second->load;
      const bool awaited =
          asked != round.adapters.end() && asked->second->waiting > 0;
      // An adapter in use keeps its place until its requests end, and the
      // engine takes no other order meanwhile.
      const bool in_use =
          engine.in_use.count(absl::StrCat(model, "/", adapter)) > 0;
      if (awaited || in_use || load >= least) continue;
      least = load;
      victim = {model, adapter};
    }
  }
  if (!victim.has_value()) return false;
  engine.models[victim->first].erase(victim->second);
  this->placed_at.erase(PlaceName(engine.id, victim->first, victim->second));
  round.changes.push_back({ResidencyChange::Kind::kUnload, engine.id,
                           victim->first, victim->second});
  return true;
}

}  // namespace dragonflyglade
