#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/residency_planner.h"
#include "dragonflyglade/decision/residency_round.h"

// The part of ResidencyPlanner that decides where adapters are loaded.
namespace dragonflyglade {

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
