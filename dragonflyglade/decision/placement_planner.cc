#include "dragonflyglade/decision/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflyglade {
namespace {

bool IsLoadedOrLoading(CopyState state) {
  return state == CopyState::kLoading || state == CopyState::kLoaded;
}

}  // namespace

// Working state of one planning round. Planned steps are applied to it, so that
// later steps take them into account.
struct PlacementPlanner::Round {
  const PlannerInput& input;
  std::vector<PlannerTarget> targets;
  std::vector<PlanStep> steps;
  int model_loads_left = 0;
  int adapter_loads_left = 0;
  // name -> indexes of usable targets with a copy that is loaded or loading
  std::map<std::string, std::vector<std::size_t>, std::less<>> copies;
  std::set<std::string> unload_planned;  ///< names with an unload planned

  explicit Round(const PlannerInput& given) : input(given) {
    this->targets = given.targets;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      if (!this->targets[i].usable) continue;
      for (const LedgerCopy& copy : this->targets[i].ledger.copies) {
        if (IsLoadedOrLoading(copy.state)) this->copies[copy.name].push_back(i);
      }
    }
  }

  int CopyCount(std::string_view name) const {
    const auto found = this->copies.find(name);
    return found == this->copies.end() ? 0
                                       : static_cast<int>(found->second.size());
  }

  // Indexes of the targets at which both the ledger and the last report show
  // the copy as loaded.
  std::vector<std::size_t> ConfirmedCopies(std::string_view name) const {
    std::vector<std::size_t> confirmed;
    const auto found = this->copies.find(name);
    if (found == this->copies.end()) return confirmed;
    for (const std::size_t i : found->second) {
      const PlannerTarget& target = this->targets[i];
      const LedgerCopy* copy = FindCopy(target.ledger, name);
      const bool reported = target.resident.has_value() &&
                            target.resident->count(std::string(name)) > 0;
      if (copy->state == CopyState::kLoaded && reported) confirmed.push_back(i);
    }
    return confirmed;
  }

  // Bytes of memory that the target's ledger leaves free.
  std::int64_t Free(std::size_t i) const {
    const TargetLedger& ledger = this->targets[i].ledger;
    return ledger.capacity - ReservedBytes(ledger);
  }

  // The usable target with the most free memory, at least `bytes`, whose ledger
  // has no copy of that name.
  std::optional<std::size_t> MostFreeTarget(std::string_view name,
                                            std::int64_t bytes) const {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      const PlannerTarget& target = this->targets[i];
      if (!target.usable || FindCopy(target.ledger, name) != nullptr) continue;
      if (this->Free(i) < bytes) continue;
      if (!best.has_value() || this->Free(i) > this->Free(*best)) best = i;
    }
    return best;
  }

  void Load(std::size_t i, const CopySpec& spec) {
    LedgerCopy copy;
    copy.name = spec.name;
    copy.base = spec.base;
    copy.bytes = spec.bytes;
    this->targets[i].ledger.copies.push_back(copy);
    this->copies[spec.name].push_back(i);
    this->steps.emplace_back(PlanLoad{this->targets[i].ledger.target, spec});
  }

  void Unload(std::size_t i, const std::string& name,
              const std::string& retained_copy_target) {
    std::vector<std::size_t>& targets_with_copy = this->copies[name];
    targets_with_copy.erase(
        std::remove(targets_with_copy.begin(), targets_with_copy.end(), i),
        targets_with_copy.end());
    for (LedgerCopy& copy : this->targets[i].ledger.copies) {
      if (copy.name == name) copy.state = CopyState::kUnloading;
    }
    this->unload_planned.insert(name);
    this->steps.emplace_back(
        PlanUnload{this->targets[i].ledger.target, name, retained_copy_target});
  }
};

PlacementPlanner::PlacementPlanner(PlannerOptions options, Clock clock)
    : options(options), clock(clock), credited_at(clock.Now()) {
  this->load_credit = options.loads_per_second;
}

std::vector<PlanStep> PlacementPlanner::Plan(const PlannerInput& input) {
  const Instant now = this->clock.Now();
  this->load_credit = std::min(
      static_cast<double>(this->options.loads_at_once),
      this->load_credit + this->options.loads_per_second *
                              absl::ToDoubleSeconds(now - this->credited_at));
  this->credited_at = now;
  Round round(input);
  round.model_loads_left =
      std::min(this->options.loads_at_once - input.open_model_loads,
               static_cast<int>(std::floor(this->load_credit)));
  round.adapter_loads_left =
      this->options.adapter_loads_at_once - input.open_adapter_loads;
  const int initial_model_loads_left = round.model_loads_left;
  this->Reconcile(round);
  this->PlanModels(round);
  this->PlanAdapters(round);
  this->PlanUnloads(round);
  this->load_credit -=
      std::max(0, initial_model_loads_left - round.model_loads_left);
  return std::move(round.steps);
}

// Hysteresis: a copy is added as soon as demand exceeds the upper threshold,
// but dropped only after demand was low for a while, because moving a copy
// takes time of the weight store and discards the engine's cache.
int PlacementPlanner::DesiredCopies(const PlannerModel& model, double demand,
                                    int present) {
  const double copy_capacity = this->options.copy_tokens_per_second;
  const int needed_for_demand = static_cast<int>(
      std::ceil(demand / (copy_capacity * this->options.add_above)));
  const int needed = std::max(model.min_copies, needed_for_demand);
  if (needed >= present) {
    this->low_since.erase(model.name);
    return needed;
  }
  const int remaining = present - 1;
  const bool is_demand_low =
      demand < remaining * copy_capacity * this->options.drop_below;
  if (!is_demand_low || remaining < model.min_copies) {
    this->low_since.erase(model.name);
    return present;
  }
  const Instant now = this->clock.Now();
  const auto [since, started] = this->low_since.emplace(model.name, now);
  if (now - since->second < this->options.drop_after) return present;
  return remaining;
}

// Resolves differences between the ledgers and the targets' reports: a load
// that was lost, a copy that a delayed unload removed, an unload without a
// response.
void PlacementPlanner::Reconcile(Round& round) {
  for (std::size_t i = 0; i < round.targets.size(); ++i) {
    const PlannerTarget& target = round.targets[i];
    if (!target.usable || !target.resident.has_value()) continue;
    const std::vector<LedgerCopy> copies = target.ledger.copies;
    for (const LedgerCopy& copy : copies) {
      this->ReconcileCopy(round, i, copy);
    }
  }
}

void PlacementPlanner::ReconcileCopy(Round& round, std::size_t target,
                                     const LedgerCopy& copy) {
  const PlannerTarget& planned_target = round.targets[target];
  const bool is_resident = planned_target.resident->count(copy.name) > 0;
  bool reload = IsLoadedOrLoading(copy.state) && !is_resident;
  if (copy.state == CopyState::kUncertain) {
    reload = round.CopyCount(copy.name) == 0;
  }
  if (copy.state == CopyState::kUnloading) {
    const std::vector<std::size_t> confirmed = round.ConfirmedCopies(copy.name);
    const bool may_unload = !copy.base.empty() || !confirmed.empty();
    if (may_unload) {
      const std::string retained_copy_target =
          confirmed.empty() ? ""
                            : round.targets[confirmed.front()].ledger.target;
      round.steps.emplace_back(PlanUnload{planned_target.ledger.target,
                                          copy.name, retained_copy_target});
      return;
    }
    reload = true;
  }
  int& left =
      copy.base.empty() ? round.model_loads_left : round.adapter_loads_left;
  if (!reload || left <= 0) return;
  --left;
  round.steps.emplace_back(
      PlanReload{planned_target.ledger.target,
                 CopySpec{copy.name, copy.version, copy.base, copy.bytes}});
}

void PlacementPlanner::PlanModels(Round& round) {
  std::vector<const PlannerModel*> order;
  order.reserve(round.input.models.size());
  for (const PlannerModel& model : round.input.models) order.push_back(&model);
  const auto demand_of = [&round](const PlannerModel* model) {
    const auto found = round.input.demand.find(model->name);
    return found == round.input.demand.end() ? 0.0 : found->second;
  };
  // Models without a copy go first, then those with the most demand per copy.
  std::sort(order.begin(), order.end(),
            [&](const PlannerModel* a, const PlannerModel* b) {
              const int copies_a = round.CopyCount(a->name);
              const int copies_b = round.CopyCount(b->name);
              const bool absent_a = copies_a == 0;
              const bool absent_b = copies_b == 0;
              if (absent_a != absent_b) return absent_a;
              const double load_a = demand_of(a) / std::max(1, copies_a);
              const double load_b = demand_of(b) / std::max(1, copies_b);
              if (load_a != load_b) return load_a > load_b;
              return a->name < b->name;
            });
  for (const PlannerModel* model : order) {
    if (round.model_loads_left <= 0) return;
    this->PlanModel(round, *model);
  }
}

void PlacementPlanner::PlanModel(Round& round, const PlannerModel& model) {
  const auto found = round.input.demand.find(model.name);
  const double demand = found == round.input.demand.end() ? 0 : found->second;
  const int present = round.CopyCount(model.name);
  const int desired = this->DesiredCopies(model, demand, present);
  for (int copies = present; copies < desired; ++copies) {
    if (round.model_loads_left <= 0) return;
    const std::optional<std::size_t> target =
        round.MostFreeTarget(model.name, model.bytes);
    if (!target.has_value()) {
      // Copies of other models are evicted only for a model without any copy.
      if (copies == 0) this->MakeRoom(round, model.bytes);
      return;
    }
    --round.model_loads_left;
    round.Load(*target, CopySpec{model.name, model.version, "", model.bytes});
  }
}

// Unloads the redundant copy with the least demand per copy, at a target where
// that frees enough memory. The memory is free only when the unload is
// confirmed, so the load follows in a later round. Returns whether enough
// memory will become free.
bool PlacementPlanner::MakeRoom(Round& round, std::int64_t bytes) {
  std::optional<std::size_t> best;
  std::string best_name;
  std::size_t best_retained = 0;
  double best_value = 0;
  for (std::size_t i = 0; i < round.targets.size(); ++i) {
    const PlannerTarget& target = round.targets[i];
    if (!target.usable) continue;
    std::int64_t bytes_to_be_free = round.Free(i);
    for (const LedgerCopy& copy : target.ledger.copies) {
      if (copy.state == CopyState::kUnloading) bytes_to_be_free += copy.bytes;
    }
    if (bytes_to_be_free >= bytes) return true;
    for (const LedgerCopy& copy : target.ledger.copies) {
      if (copy.state != CopyState::kLoaded || !copy.base.empty()) continue;
      if (bytes_to_be_free + copy.bytes < bytes) continue;
      const std::vector<std::size_t> confirmed =
          round.ConfirmedCopies(copy.name);
      const auto other = std::find_if(confirmed.begin(), confirmed.end(),
                                      [i](std::size_t s) { return s != i; });
      if (other == confirmed.end()) continue;
      const auto found = round.input.demand.find(copy.name);
      const double value =
          (found == round.input.demand.end() ? 0 : found->second) /
          round.CopyCount(copy.name);
      if (best.has_value() && value >= best_value) continue;
      best = i;
      best_name = copy.name;
      best_retained = *other;
      best_value = value;
    }
  }
  if (!best.has_value()) return false;
  round.Unload(*best, best_name, round.targets[best_retained].ledger.target);
  return true;
}

void PlacementPlanner::PlanAdapters(Round& round) {
  for (const PlannerAdapter& adapter : round.input.adapters) {
    const auto model_targets = round.copies.find(adapter.model);
    if (model_targets == round.copies.end()) continue;
    for (const std::size_t i : model_targets->second) {
      if (round.adapter_loads_left <= 0) return;
      const TargetLedger& ledger = round.targets[i].ledger;
      // An adapter is loaded only at a target that has loaded its model.
      const LedgerCopy* model = FindCopy(ledger, adapter.model);
      const bool is_loaded =
          model != nullptr && model->state == CopyState::kLoaded;
      const bool has_entry = FindCopy(ledger, adapter.name) != nullptr;
      if (!is_loaded || has_entry || round.Free(i) < adapter.bytes) continue;
      --round.adapter_loads_left;
      round.Load(i, CopySpec{adapter.name, "", adapter.model, adapter.bytes});
    }
  }
}

void PlacementPlanner::PlanUnloads(Round& round) {
  std::set<std::string> configured;
  for (const PlannerModel& model : round.input.models) {
    configured.insert(model.name);
    if (round.unload_planned.count(model.name) > 0) continue;
    const auto found = round.input.demand.find(model.name);
    const double demand = found == round.input.demand.end() ? 0 : found->second;
    const std::vector<std::size_t> confirmed =
        round.ConfirmedCopies(model.name);
    const int present = round.CopyCount(model.name);
    if (confirmed.size() < 2 ||
        this->DesiredCopies(model, demand, present) >= present) {
      continue;
    }
    // Drops the copy at the target with the least free memory and keeps another
    // confirmed one.
    const auto fullest =
        std::min_element(confirmed.begin(), confirmed.end(),
                         [&round](std::size_t a, std::size_t b) {
                           return round.Free(a) < round.Free(b);
                         });
    const std::size_t retained =
        *fullest == confirmed[0] ? confirmed[1] : confirmed[0];
    round.Unload(*fullest, model.name, round.targets[retained].ledger.target);
    this->low_since.erase(model.name);
  }
  for (const PlannerAdapter& adapter : round.input.adapters) {
    configured.insert(adapter.name);
  }
  // Drops copies of models and adapters that are no longer in the
  // configuration, and adapters whose model is no longer at their target.
  for (std::size_t i = 0; i < round.targets.size(); ++i) {
    const std::vector<LedgerCopy> copies = round.targets[i].ledger.copies;
    for (const LedgerCopy& copy : copies) {
      if (copy.state != CopyState::kLoaded) continue;
      const bool orphaned =
          !copy.base.empty() &&
          FindCopy(round.targets[i].ledger, copy.base) == nullptr;
      if (configured.count(copy.name) > 0 && !orphaned) continue;
      round.Unload(i, copy.name, "");
    }
  }
}

}  // namespace dragonflyglade
