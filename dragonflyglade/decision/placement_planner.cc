#include "dragonflyglade/decision/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflyglade {
namespace {

bool Counts(CopyState state) {
  return state == CopyState::kLoading || state == CopyState::kLoaded;
}

}  // namespace

// The picture that one round works on; steps change it as they are planned.
struct PlacementPlanner::Round {
  const PlannerInput& input;
  std::vector<PlannerTarget> targets;
  std::vector<PlanStep> steps;
  int model_loads_left = 0;
  int adapter_loads_left = 0;
  // name -> indexes of targets with a copy that is loaded or loading
  std::map<std::string, std::vector<std::size_t>, std::less<>> copies;
  std::set<std::string> unloading_now;  ///< models with an unload planned

  explicit Round(const PlannerInput& given) : input(given) {
    this->targets = given.targets;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      if (!this->targets[i].usable) continue;
      for (const LedgerCopy& copy : this->targets[i].ledger.copies) {
        if (Counts(copy.state)) this->copies[copy.name].push_back(i);
      }
    }
  }

  int Copies(std::string_view name) const {
    const auto found = this->copies.find(name);
    return found == this->copies.end() ? 0
                                       : static_cast<int>(found->second.size());
  }

  // Copies that surely serve: confirmed, and there by the last report.
  std::vector<std::size_t> Sure(std::string_view name) const {
    std::vector<std::size_t> sure;
    const auto found = this->copies.find(name);
    if (found == this->copies.end()) return sure;
    for (const std::size_t i : found->second) {
      const PlannerTarget& target = this->targets[i];
      const LedgerCopy* copy = FindCopy(target.ledger, name);
      const bool reported = target.resident.has_value() &&
                            target.resident->count(std::string(name)) > 0;
      if (copy->state == CopyState::kLoaded && reported) sure.push_back(i);
    }
    return sure;
  }

  std::int64_t Free(std::size_t i) const {
    const TargetLedger& ledger = this->targets[i].ledger;
    return ledger.capacity - ReservedBytes(ledger);
  }

  // The usable target with the most room that has no entry of the name.
  std::optional<std::size_t> Roomiest(std::string_view name,
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
    // Booked in this round's picture, so that later steps see it.
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
    std::vector<std::size_t>& holders = this->copies[name];
    holders.erase(std::remove(holders.begin(), holders.end(), i),
                  holders.end());
    for (LedgerCopy& copy : this->targets[i].ledger.copies) {
      if (copy.name == name) copy.state = CopyState::kUnloading;
    }
    this->unloading_now.insert(name);
    this->steps.emplace_back(
        PlanUnload{this->targets[i].ledger.target, name, retained_copy_target});
  }
};

PlacementPlanner::PlacementPlanner(PlannerOptions options, Clock clock)
    : options(options), clock(clock), credited(clock.Now()) {
  this->load_credit = options.loads_per_second;
}

std::vector<PlanStep> PlacementPlanner::Plan(const PlannerInput& input) {
  const Instant now = this->clock.Now();
  this->load_credit = std::min(
      static_cast<double>(this->options.loads_at_once),
      this->load_credit + this->options.loads_per_second *
                              absl::ToDoubleSeconds(now - this->credited));
  this->credited = now;
  Round round(input);
  round.model_loads_left =
      std::min(this->options.loads_at_once - input.open_model_loads,
               static_cast<int>(std::floor(this->load_credit)));
  round.adapter_loads_left =
      this->options.adapter_loads_at_once - input.open_adapter_loads;
  const int before = round.model_loads_left;
  this->Repair(round);
  this->PlanModels(round);
  this->PlanAdapters(round);
  this->PlanDrops(round);
  this->load_credit -= std::max(0, before - round.model_loads_left);
  return std::move(round.steps);
}

// Hysteresis: a copy is wanted as soon as demand passes the upper threshold,
// but is given up only after demand was low for a while, because a move costs
// the weight store's time and the engine's cache.
int PlacementPlanner::WantedCopies(const PlannerModel& model, double demand,
                                   int present) {
  const double per_copy = this->options.copy_tokens_per_second;
  const int up = static_cast<int>(
      std::ceil(demand / (per_copy * this->options.add_above)));
  const int wanted_up = std::max(model.min_copies, up);
  if (wanted_up >= present) {
    this->low_since.erase(model.name);
    return wanted_up;
  }
  const int fewer = present - 1;
  const bool is_low = demand < fewer * per_copy * this->options.drop_below;
  if (!is_low || fewer < model.min_copies) {
    this->low_since.erase(model.name);
    return present;
  }
  const Instant now = this->clock.Now();
  const auto [since, started] = this->low_since.emplace(model.name, now);
  if (now - since->second < this->options.drop_after) return present;
  return fewer;
}

// Settles what the ledgers say but the targets' reports do not: a lost load,
// a copy that a late unload took away, an unload without an answer.
void PlacementPlanner::Repair(Round& round) {
  for (std::size_t i = 0; i < round.targets.size(); ++i) {
    const PlannerTarget& target = round.targets[i];
    if (!target.usable || !target.resident.has_value()) continue;
    const std::vector<LedgerCopy> copies = target.ledger.copies;
    for (const LedgerCopy& copy : copies) {
      this->RepairCopy(round, i, copy);
    }
  }
}

void PlacementPlanner::RepairCopy(Round& round, std::size_t target,
                                  const LedgerCopy& copy) {
  const PlannerTarget& at = round.targets[target];
  const bool is_there = at.resident->count(copy.name) > 0;
  bool reload = Counts(copy.state) && !is_there;
  if (copy.state == CopyState::kUncertain) {
    reload = round.Copies(copy.name) == 0;
  }
  if (copy.state == CopyState::kUnloading) {
    const std::vector<std::size_t> sure = round.Sure(copy.name);
    const bool may_go = !copy.base.empty() || !sure.empty();
    if (may_go) {
      const std::string retained_copy_target =
          sure.empty() ? "" : round.targets[sure.front()].ledger.target;
      round.steps.emplace_back(
          PlanUnload{at.ledger.target, copy.name, retained_copy_target});
      return;
    }
    reload = true;
  }
  int& left =
      copy.base.empty() ? round.model_loads_left : round.adapter_loads_left;
  if (!reload || left <= 0) return;
  --left;
  round.steps.emplace_back(
      PlanReload{at.ledger.target,
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
  // Models without a copy go first, then by demand for each copy.
  std::sort(order.begin(), order.end(),
            [&](const PlannerModel* a, const PlannerModel* b) {
              const int copies_a = round.Copies(a->name);
              const int copies_b = round.Copies(b->name);
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
  const int present = round.Copies(model.name);
  const int wanted = this->WantedCopies(model, demand, present);
  for (int copies = present; copies < wanted; ++copies) {
    if (round.model_loads_left <= 0) return;
    const std::optional<std::size_t> target =
        round.Roomiest(model.name, model.bytes);
    if (!target.has_value()) {
      // Only a model that nobody serves is worth another one's copy.
      if (copies == 0) this->MakeRoom(round, model.bytes);
      return;
    }
    --round.model_loads_left;
    round.Load(*target, CopySpec{model.name, model.version, "", model.bytes});
  }
}

// Unloads the spare copy that is worth least at a target where that makes
// enough room. The bytes are free only once the unload is confirmed, so the
// load follows in a later round.
bool PlacementPlanner::MakeRoom(Round& round, std::int64_t bytes) {
  std::optional<std::size_t> best;
  std::string best_name;
  std::size_t best_stay = 0;
  double best_value = 0;
  for (std::size_t i = 0; i < round.targets.size(); ++i) {
    const PlannerTarget& target = round.targets[i];
    if (!target.usable) continue;
    std::int64_t coming = round.Free(i);
    for (const LedgerCopy& copy : target.ledger.copies) {
      if (copy.state == CopyState::kUnloading) coming += copy.bytes;
    }
    if (coming >= bytes) return true;
    for (const LedgerCopy& copy : target.ledger.copies) {
      if (copy.state != CopyState::kLoaded || !copy.base.empty()) continue;
      if (coming + copy.bytes < bytes) continue;
      const std::vector<std::size_t> sure = round.Sure(copy.name);
      const auto other = std::find_if(sure.begin(), sure.end(),
                                      [i](std::size_t s) { return s != i; });
      if (other == sure.end()) continue;
      const auto found = round.input.demand.find(copy.name);
      const double value =
          (found == round.input.demand.end() ? 0 : found->second) /
          round.Copies(copy.name);
      if (best.has_value() && value >= best_value) continue;
      best = i;
      best_name = copy.name;
      best_stay = *other;
      best_value = value;
    }
  }
  if (!best.has_value()) return false;
  round.Unload(*best, best_name, round.targets[best_stay].ledger.target);
  return true;
}

void PlacementPlanner::PlanAdapters(Round& round) {
  for (const PlannerAdapter& adapter : round.input.adapters) {
    const auto hosts = round.copies.find(adapter.model);
    if (hosts == round.copies.end()) continue;
    for (const std::size_t i : hosts->second) {
      if (round.adapter_loads_left <= 0) return;
      const TargetLedger& ledger = round.targets[i].ledger;
      // An adapter goes where its model is there already.
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

void PlacementPlanner::PlanDrops(Round& round) {
  std::set<std::string> known;
  for (const PlannerModel& model : round.input.models) {
    known.insert(model.name);
    if (round.unloading_now.count(model.name) > 0) continue;
    const auto found = round.input.demand.find(model.name);
    const double demand = found == round.input.demand.end() ? 0 : found->second;
    const std::vector<std::size_t> sure = round.Sure(model.name);
    const int present = round.Copies(model.name);
    if (sure.size() < 2 ||
        this->WantedCopies(model, demand, present) >= present) {
      continue;
    }
    // The copy on the fullest target goes; another sure one stays.
    const auto fullest = std::min_element(
        sure.begin(), sure.end(), [&round](std::size_t a, std::size_t b) {
          return round.Free(a) < round.Free(b);
        });
    const std::size_t stays = *fullest == sure[0] ? sure[1] : sure[0];
    round.Unload(*fullest, model.name, round.targets[stays].ledger.target);
    this->low_since.erase(model.name);
  }
  for (const PlannerAdapter& adapter : round.input.adapters) {
    known.insert(adapter.name);
  }
  // What no record names any more, and adapters whose model has gone.
  for (std::size_t i = 0; i < round.targets.size(); ++i) {
    const std::vector<LedgerCopy> copies = round.targets[i].ledger.copies;
    for (const LedgerCopy& copy : copies) {
      if (copy.state != CopyState::kLoaded) continue;
      const bool orphaned =
          !copy.base.empty() &&
          FindCopy(round.targets[i].ledger, copy.base) == nullptr;
      if (known.count(copy.name) > 0 && !orphaned) continue;
      round.Unload(i, copy.name, "");
    }
  }
}

}  // namespace dragonflyglade
