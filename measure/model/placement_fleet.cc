#include "measure/model/placement_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/random/distributions.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kPlanPeriod = absl::Seconds(1);
constexpr absl::Duration kSettleTime = absl::Seconds(8);
constexpr absl::Duration kLoadTime = absl::Seconds(3);
constexpr absl::Duration kShortOperationTime = absl::Milliseconds(20);
constexpr absl::Duration kReportLag = absl::Seconds(1);
constexpr absl::Duration kLongestPause = absl::Seconds(30);
constexpr double kHalf = 0.5;
// The demand of a model is proportional to its rank to the power of minus this
// exponent.
constexpr double kDemandExponent = 0.8;

std::string ModelName(int model) { return fmt::format("m{}", model); }

}  // namespace

PlacementFleet::PlacementFleet(const PlacementRun& run)
    : run(run), clock(&this->manual), random(run.seed) {
  this->manual.Advance(absl::Seconds(1));
  for (int i = 0; i < run.targets; ++i) {
    const std::string name = fmt::format("t{:04}", i);
    Target target;
    target.name = name;
    this->targets[name] = target;
    TargetLedger ledger;
    ledger.target = name;
    ledger.capacity = run.capacity;
    this->store[name] = StoredLedger{ledger, 0};
  }
  double total = 0;
  for (int i = 0; i < run.models; ++i) {
    this->demand_phases.push_back(absl::Uniform(this->random, 0.0, 2 * M_PI));
    this->demand_weights.push_back(std::pow(i + 1, -kDemandExponent));
    total += this->demand_weights.back();
  }
  for (double& weight : this->demand_weights) weight /= total;
  this->planners.resize(static_cast<std::size_t>(run.planners));
  for (Planner& planner : this->planners) {
    planner.planner = std::make_unique<PlacementPlanner>(run.plan, this->clock);
    planner.token = ++this->revision;
  }
}

void PlacementFleet::Schedule(Instant when, std::function<void()> action) {
  this->events.emplace(std::max(when, this->manual.Now()), std::move(action));
}

bool PlacementFleet::DrawChance(double probability) {
  return probability > 0 && absl::Bernoulli(this->random, probability);
}

bool PlacementFleet::IsKvUnavailable() const {
  const double progress =
      absl::FDivDuration(this->manual.Now(), this->run.length);
  return this->run.kv_out_midway && progress > 0.4 && progress < 0.6;
}

std::string PlacementFleet::BootId(const Target& target) const {
  return fmt::format("{}-{}", target.name, target.boot_number);
}

// Demand follows a sine wave with a period of two hours on a logarithmic scale.
// Each model has a random phase.
double PlacementFleet::DemandOf(int model) const {
  const double angle =
      2 * M_PI * absl::FDivDuration(this->manual.Now(), absl::Hours(2)) +
      this->demand_phases[static_cast<std::size_t>(model)];
  const double factor = std::pow(this->run.swing, kHalf * std::sin(angle));
  return this->run.tokens_per_second *
         this->demand_weights[static_cast<std::size_t>(model)] * factor;
}

PlannerInput PlacementFleet::MakePlannerInput(
    Planner& planner, std::map<std::string, StoredLedger>& snapshot) {
  PlannerInput input;
  for (int i = 0; i < this->run.models; ++i) {
    input.models.push_back(
        PlannerModel{ModelName(i), "1", this->run.model_bytes, 1});
    input.demand[ModelName(i)] =
        this->run.static_placement ? 0 : this->DemandOf(i);
  }
  for (int i = 0; i < this->run.adapters; ++i) {
    input.adapters.push_back(PlannerAdapter{fmt::format("a{}", i),
                                            ModelName(i % this->run.models),
                                            this->run.adapter_bytes});
  }
  const Instant now = this->manual.Now();
  for (auto& [name, stored] : snapshot) {
    auto& [orders, since] = planner.observed[name];
    if (since == Instant() || orders != stored.ledger.orders) {
      orders = stored.ledger.orders;
      since = now;
    }
    const Target& target = this->targets.at(name);
    // A report is kReportLag old. Before that time has passed since the last
    // order, the report may predate the order's effect and is not applied.
    std::set<std::string> resident;
    for (const auto& [copy, bytes] : target.memory) resident.insert(copy);
    const Instant made_at = now - kReportLag;
    const TargetLedger before = stored.ledger;
    if (now > since + kReportLag) {
      ApplyResidencyReport(stored.ledger, BootId(target), resident,
                           made_at > since);
    }
    if (stored.ledger != before) this->WriteLedger(stored, {});
    stored = this->store.at(name);
    PlannerTarget planned;
    planned.ledger = stored.ledger;
    if (made_at > since + kSettleTime) planned.resident = resident;
    input.targets.push_back(std::move(planned));
  }
  input.open_model_loads = planner.open_model_loads;
  input.open_adapter_loads = planner.open_adapter_loads;
  return input;
}

void PlacementFleet::PlanRound(std::size_t index) {
  Planner& planner = this->planners[index];
  this->Schedule(this->manual.Now() + kPlanPeriod,
                 [=, this] { this->PlanRound(index); });
  if (planner.paused_until > this->manual.Now() || this->IsKvUnavailable())
    return;
  std::map<std::string, StoredLedger> snapshot = this->store;
  const std::vector<PlanStep> steps =
      planner.planner->Plan(this->MakePlannerInput(planner, snapshot));
  // A planner may pause between reading the ledgers and acting on its plan.
  Instant when = this->manual.Now();
  if (this->DrawChance(this->run.pauses)) {
    planner.paused_until =
        when + absl::Uniform(this->random, 0.0, 1.0) * kLongestPause;
    when = planner.paused_until;
  }
  for (const PlanStep& step : steps) {
    this->Schedule(when, [=, this] { this->ApplyStep(index, step, snapshot); });
  }
}

bool PlacementFleet::WriteLedger(
    StoredLedger stored,
    const std::vector<std::pair<std::string, std::int64_t>>& preconditions) {
  if (this->IsKvUnavailable()) return false;
  StoredLedger& current = this->store.at(stored.ledger.target);
  if (current.revision != stored.revision) return false;
  for (const auto& [name, expected] : preconditions) {
    if (this->store.at(name).revision != expected) return false;
  }
  ++this->result.kv_writes;
  stored.revision = ++this->revision;
  current = std::move(stored);
  return true;
}

void PlacementFleet::ApplyStep(std::size_t index, const PlanStep& step,
                               std::map<std::string, StoredLedger> snapshot) {
  const std::int64_t token = this->planners[index].token;
  // Steps of one round run in sequence, and each sees the writes of the one
  // before. A planner that paused uses its old snapshot, and its write fails on
  // the revision check if another planner has written in the meantime.
  const auto fresh = [&](const std::string& target) {
    StoredLedger stored = snapshot.at(target);
    const StoredLedger& current = this->store.at(target);
    if (current.ledger.fence_token == token) stored = current;
    return stored;
  };
  if (const auto* load = std::get_if<PlanLoad>(&step)) {
    StoredLedger stored = fresh(load->target);
    if (!BeginLoad(stored.ledger, load->spec, token).Ok()) return;
    const std::string id = FindCopy(stored.ledger, load->spec.name)->order_id;
    if (!this->WriteLedger(stored, {})) return;
    this->SendOrder(index, load->target, true, load->spec, id, token);
  } else if (const auto* reload = std::get_if<PlanReload>(&step)) {
    StoredLedger stored = fresh(reload->target);
    if (!RepeatLoad(stored.ledger, reload->spec.name, token).Ok()) return;
    const std::string id = FindCopy(stored.ledger, reload->spec.name)->order_id;
    if (!this->WriteLedger(stored, {})) return;
    this->SendOrder(index, reload->target, true, reload->spec, id, token);
  } else {
    const auto& unload = std::get<PlanUnload>(step);
    StoredLedger stored = fresh(unload.target);
    if (!BeginUnload(stored.ledger, unload.name, token).Ok()) return;
    const std::string id = FindCopy(stored.ledger, unload.name)->order_id;
    std::vector<std::pair<std::string, std::int64_t>> preconditions;
    if (!unload.retained_copy_target.empty()) {
      preconditions.emplace_back(
          unload.retained_copy_target,
          snapshot.at(unload.retained_copy_target).revision);
    }
    if (!this->WriteLedger(stored, preconditions)) return;
    CopySpec spec;
    spec.name = unload.name;
    this->SendOrder(index, unload.target, false, spec, id, token);
  }
}

bool PlacementFleet::ExecuteOrder(Target& target, bool is_load,
                                  const CopySpec& spec, std::int64_t token) {
  if (this->run.fenced && token < target.highest_token) return false;
  target.highest_token = std::max(target.highest_token, token);
  if (!is_load) {
    target.memory.erase(spec.name);
    return true;
  }
  target.memory[spec.name] = spec.bytes;
  std::int64_t used = 0;
  for (const auto& [name, bytes] : target.memory) used += bytes;
  this->result.history.emplace_back(
      MemoryEvent{target.name, used, this->run.capacity});
  this->result.worst_over = std::max(
      this->result.worst_over, static_cast<int>(used - this->run.capacity));
  return true;
}

void PlacementFleet::SendOrder(std::size_t index, const std::string& name,
                               bool is_load, const CopySpec& spec,
                               const std::string& order_id,
                               std::int64_t token) {
  const bool is_model = spec.base.empty();
  if (is_load && is_model) ++this->result.moves;
  const bool is_late = this->DrawChance(this->run.late);
  const bool is_lost = is_late || this->DrawChance(this->run.lost);
  const bool is_doubled = is_late && this->DrawChance(kHalf);
  const absl::Duration duration =
      is_load && is_model ? kLoadTime : kShortOperationTime;
  const auto draw_delay = [this] {
    return absl::Uniform(this->random, 0.0, 1.0) * this->run.max_order_delay;
  };
  const int boot_number = this->targets.at(name).boot_number;
  int& open_loads_of_kind = is_model ? this->planners[index].open_model_loads
                                     : this->planners[index].open_adapter_loads;
  if (is_load) ++open_loads_of_kind;
  if (is_doubled) {
    this->Schedule(this->manual.Now() + draw_delay(), [=, this] {
      Target& target = this->targets.at(name);
      if (target.boot_number == boot_number)
        this->ExecuteOrder(target, is_load, spec, token);
    });
  }
  const absl::Duration wait = is_late ? draw_delay() : absl::ZeroDuration();
  this->Schedule(this->manual.Now() + wait + duration, [=, this] {
    Target& target = this->targets.at(name);
    // An order to a process that has terminated has no effect.
    const bool arrives = target.boot_number == boot_number;
    const bool done =
        arrives && this->ExecuteOrder(target, is_load, spec, token);
    if (!arrives || is_lost) return;
    this->RecordOutcome(
        name, is_load,
        OrderOutcome{order_id, spec.name, token, done, BootId(target)});
  });
  if (is_load) {
    this->Schedule(this->manual.Now() + duration, [=, this] {
      Planner& planner = this->planners[index];
      --(is_model ? planner.open_model_loads : planner.open_adapter_loads);
    });
  }
}

void PlacementFleet::RecordOutcome(const std::string& name, bool is_load,
                                   const OrderOutcome& outcome) {
  StoredLedger stored = this->store.at(name);
  if (is_load) {
    FinishLoad(stored.ledger, outcome, this->run.fenced);
  } else {
    if (this->run.forget_open_loads) {
      for (LedgerCopy& copy : stored.ledger.copies) {
        if (copy.name == outcome.name) copy.open_loads.clear();
      }
    }
    FinishUnload(stored.ledger, outcome, this->run.fenced);
  }
  this->WriteLedger(stored, {});
}

void PlacementFleet::SimulateSecond() {
  this->Schedule(this->manual.Now() + absl::Seconds(1),
                 [this] { this->SimulateSecond(); });
  for (auto& [name, target] : this->targets) {
    if (!this->DrawChance(this->run.restarts)) continue;
    ++target.boot_number;
    target.memory.clear();
    target.highest_token = 0;
  }
  // Each copy of a model serves up to copy_tokens_per_second of its demand.
  std::map<std::string, int> copies;
  for (const auto& [name, target] : this->targets) {
    for (const auto& [copy, bytes] : target.memory) ++copies[copy];
  }
  for (int i = 0; i < this->run.models; ++i) {
    const double demand = this->DemandOf(i);
    const int count = copies[ModelName(i)];
    this->demanded_tokens += demand;
    this->served_tokens +=
        std::min(demand, count * this->run.plan.copy_tokens_per_second);
    ++this->model_seconds;
    if (count > 0) ++this->reachable_seconds;
  }
}

PlacementResult PlacementFleet::Run() {
  for (std::size_t i = 0; i < this->planners.size(); ++i) {
    this->Schedule(this->manual.Now() + kShortOperationTime * (i + 1),
                   [=, this] { this->PlanRound(i); });
  }
  this->Schedule(absl::Seconds(60), [this] { this->SimulateSecond(); });
  RunEvents(this->events, this->manual, this->run.length);
  this->result.attained =
      this->served_tokens / std::max(1.0, this->demanded_tokens);
  this->result.reachable = static_cast<double>(this->reachable_seconds) /
                           std::max(1, this->model_seconds);
  return this->result;
}

}  // namespace dragonflyglade
