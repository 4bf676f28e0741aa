#include "measure/model/placement_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/random/distributions.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kPlanEvery = absl::Seconds(1);
constexpr absl::Duration kSettle = absl::Seconds(8);
constexpr absl::Duration kLoadTime = absl::Seconds(3);
constexpr absl::Duration kQuick = absl::Milliseconds(20);
constexpr absl::Duration kReportLag = absl::Seconds(1);
constexpr absl::Duration kLongestPause = absl::Seconds(30);
constexpr double kHalf = 0.5;
// Demand of models falls off like this power of their rank.
constexpr double kSkew = 0.8;

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
    this->store[name] = Stored{ledger, 0};
  }
  double total = 0;
  for (int i = 0; i < run.models; ++i) {
    this->phases.push_back(absl::Uniform(this->random, 0.0, 2 * M_PI));
    this->weights.push_back(std::pow(i + 1, -kSkew));
    total += this->weights.back();
  }
  for (double& weight : this->weights) weight /= total;
  this->planners.resize(static_cast<std::size_t>(run.planners));
  for (Planner& planner : this->planners) {
    planner.planner = std::make_unique<PlacementPlanner>(run.plan, this->clock);
    planner.fence = ++this->revision;
  }
}

void PlacementFleet::At(Instant when, std::function<void()> action) {
  this->queue.emplace(std::max(when, this->manual.Now()), std::move(action));
}

bool PlacementFleet::Chance(double part) {
  return part > 0 && absl::Bernoulli(this->random, part);
}

bool PlacementFleet::KvOut() const {
  const double part = absl::FDivDuration(this->manual.Now(), this->run.length);
  return this->run.kv_out_midway && part > 0.4 && part < 0.6;
}

std::string PlacementFleet::BootId(const Target& target) const {
  return fmt::format("{}-{}", target.name, target.boot);
}

// Up and down by the swing within an hour, each model in its own phase.
double PlacementFleet::Demand(int model) const {
  const double turn =
      2 * M_PI * absl::FDivDuration(this->manual.Now(), absl::Hours(2)) +
      this->phases[static_cast<std::size_t>(model)];
  const double factor = std::pow(this->run.swing, kHalf * std::sin(turn));
  return this->run.tokens_per_second *
         this->weights[static_cast<std::size_t>(model)] * factor;
}

PlannerInput PlacementFleet::InputFor(Planner& planner,
                                      std::map<std::string, Stored>& picture) {
  PlannerInput input;
  for (int i = 0; i < this->run.models; ++i) {
    input.models.push_back(
        PlannerModel{ModelName(i), "1", this->run.model_bytes, 1});
    input.demand[ModelName(i)] =
        this->run.static_placement ? 0 : this->Demand(i);
  }
  for (int i = 0; i < this->run.adapters; ++i) {
    input.adapters.push_back(PlannerAdapter{fmt::format("a{}", i),
                                            ModelName(i % this->run.models),
                                            this->run.adapter_bytes});
  }
  const Instant now = this->manual.Now();
  for (auto& [name, stored] : picture) {
    auto& [orders, since] = planner.seen[name];
    if (since == Instant() || orders != stored.ledger.orders) {
      orders = stored.ledger.orders;
      since = now;
    }
    const Target& target = this->targets.at(name);
    // The report was made a lag ago, of the memory at that time; what changed
    // since is not in it, so it only counts once the lag has passed as well.
    std::set<std::string> resident;
    for (const auto& [copy, bytes] : target.memory) resident.insert(copy);
    const Instant made_at = now - kReportLag;
    const std::string before = EncodeLedger(stored.ledger);
    if (now > since + kReportLag) {
      ApplyResidencyReport(stored.ledger, BootId(target), resident,
                           made_at > since);
    }
    if (EncodeLedger(stored.ledger) != before) this->Write(stored, {});
    stored = this->store.at(name);
    PlannerTarget planned;
    planned.ledger = stored.ledger;
    if (made_at > since + kSettle) planned.resident = resident;
    input.targets.push_back(std::move(planned));
  }
  input.open_model_loads = planner.open_model_loads;
  input.open_adapter_loads = planner.open_adapter_loads;
  return input;
}

void PlacementFleet::PlanRound(std::size_t index) {
  Planner& planner = this->planners[index];
  this->At(this->manual.Now() + kPlanEvery,
           [=, this] { this->PlanRound(index); });
  if (planner.paused_until > this->manual.Now() || this->KvOut()) return;
  std::map<std::string, Stored> picture = this->store;
  const std::vector<PlanStep> steps =
      planner.planner->Plan(this->InputFor(planner, picture));
  // A planner may pause between its picture and what it does about it.
  Instant when = this->manual.Now();
  if (this->Chance(this->run.pauses)) {
    planner.paused_until =
        when + absl::Uniform(this->random, 0.0, 1.0) * kLongestPause;
    when = planner.paused_until;
  }
  for (const PlanStep& step : steps) {
    this->At(when, [=, this] { this->Act(index, step, picture); });
  }
}

bool PlacementFleet::Write(
    Stored stored,
    const std::vector<std::pair<std::string, std::int64_t>>& also) {
  if (this->KvOut()) return false;
  Stored& current = this->store.at(stored.ledger.target);
  if (current.revision != stored.revision) return false;
  for (const auto& [name, expected] : also) {
    if (this->store.at(name).revision != expected) return false;
  }
  ++this->result.kv_writes;
  stored.revision = ++this->revision;
  current = std::move(stored);
  return true;
}

void PlacementFleet::Act(std::size_t index, const PlanStep& step,
                         std::map<std::string, Stored> picture) {
  const std::int64_t fence = this->planners[index].fence;
  // Steps of one round follow each other, so each sees the one before; a
  // paused planner acts on its old picture and fails the comparison.
  const auto fresh = [&](const std::string& target) {
    Stored stored = picture.at(target);
    const Stored& current = this->store.at(target);
    if (current.ledger.fence_token == fence) stored = current;
    return stored;
  };
  if (const auto* load = std::get_if<PlanLoad>(&step)) {
    Stored stored = fresh(load->target);
    if (!BeginLoad(stored.ledger, load->spec, fence).Ok()) return;
    const std::string id = FindCopy(stored.ledger, load->spec.name)->order_id;
    if (!this->Write(stored, {})) return;
    this->Send(index, load->target, true, load->spec, id, fence);
  } else if (const auto* reload = std::get_if<PlanReload>(&step)) {
    Stored stored = fresh(reload->target);
    if (!RepeatLoad(stored.ledger, reload->spec.name, fence).Ok()) return;
    const std::string id = FindCopy(stored.ledger, reload->spec.name)->order_id;
    if (!this->Write(stored, {})) return;
    this->Send(index, reload->target, true, reload->spec, id, fence);
  } else {
    const auto& unload = std::get<PlanUnload>(step);
    Stored stored = fresh(unload.target);
    if (!BeginUnload(stored.ledger, unload.name, fence).Ok()) return;
    const std::string id = FindCopy(stored.ledger, unload.name)->order_id;
    std::vector<std::pair<std::string, std::int64_t>> also;
    if (!unload.retained_copy_target.empty()) {
      also.emplace_back(unload.retained_copy_target,
                        picture.at(unload.retained_copy_target).revision);
    }
    if (!this->Write(stored, also)) return;
    CopySpec spec;
    spec.name = unload.name;
    this->Send(index, unload.target, false, spec, id, fence);
  }
}

bool PlacementFleet::Execute(Target& target, bool is_load, const CopySpec& spec,
                             std::int64_t fence) {
  if (this->run.fenced && fence < target.highest_fence) return false;
  target.highest_fence = std::max(target.highest_fence, fence);
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

void PlacementFleet::Send(std::size_t index, const std::string& name,
                          bool is_load, const CopySpec& spec,
                          const std::string& order_id, std::int64_t fence) {
  const bool is_model = spec.base.empty();
  if (is_load && is_model) ++this->result.moves;
  const bool is_late = this->Chance(this->run.late);
  const bool is_lost = is_late || this->Chance(this->run.lost);
  const bool is_doubled = is_late && this->Chance(kHalf);
  const absl::Duration takes = is_load && is_model ? kLoadTime : kQuick;
  const auto late = [this] {
    return absl::Uniform(this->random, 0.0, 1.0) * this->run.latest;
  };
  const int boot = this->targets.at(name).boot;
  int& open = is_model ? this->planners[index].open_model_loads
                       : this->planners[index].open_adapter_loads;
  if (is_load) ++open;
  if (is_doubled) {
    this->At(this->manual.Now() + late(), [=, this] {
      Target& target = this->targets.at(name);
      if (target.boot == boot) this->Execute(target, is_load, spec, fence);
    });
  }
  const absl::Duration wait = is_late ? late() : absl::ZeroDuration();
  this->At(this->manual.Now() + wait + takes, [=, this] {
    Target& target = this->targets.at(name);
    // An order to a process that has ended goes nowhere.
    const bool arrives = target.boot == boot;
    const bool done = arrives && this->Execute(target, is_load, spec, fence);
    if (!arrives || is_lost) return;
    this->Settle(
        name, is_load,
        OrderOutcome{order_id, spec.name, fence, done, BootId(target)});
  });
  if (is_load) {
    this->At(this->manual.Now() + takes, [=, this] {
      Planner& planner = this->planners[index];
      --(is_model ? planner.open_model_loads : planner.open_adapter_loads);
    });
  }
}

void PlacementFleet::Settle(const std::string& name, bool is_load,
                            const OrderOutcome& outcome) {
  Stored stored = this->store.at(name);
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
  this->Write(stored, {});
}

void PlacementFleet::Second() {
  this->At(this->manual.Now() + absl::Seconds(1), [this] { this->Second(); });
  for (auto& [name, target] : this->targets) {
    if (!this->Chance(this->run.restarts)) continue;
    ++target.boot;
    target.memory.clear();
    target.highest_fence = 0;
  }
  // A target's tokens a second are shared among the models it holds by what
  // they are asked for.
  std::map<std::string, int> copies;
  for (const auto& [name, target] : this->targets) {
    for (const auto& [copy, bytes] : target.memory) ++copies[copy];
  }
  for (int i = 0; i < this->run.models; ++i) {
    const double demand = this->Demand(i);
    const int count = copies[ModelName(i)];
    this->demanded += demand;
    this->served +=
        std::min(demand, count * this->run.plan.copy_tokens_per_second);
    ++this->model_seconds;
    if (count > 0) ++this->reachable_seconds;
  }
}

PlacementResult PlacementFleet::Run() {
  for (std::size_t i = 0; i < this->planners.size(); ++i) {
    this->At(this->manual.Now() + kQuick * (i + 1),
             [=, this] { this->PlanRound(i); });
  }
  this->At(absl::Seconds(60), [this] { this->Second(); });
  while (!this->queue.empty() &&
         this->queue.begin()->first < this->run.length) {
    const auto next = this->queue.begin();
    const std::function<void()> action = std::move(next->second);
    this->manual.Advance(next->first - this->manual.Now());
    this->queue.erase(next);
    action();
  }
  this->result.attained = this->served / std::max(1.0, this->demanded);
  this->result.reachable = static_cast<double>(this->reachable_seconds) /
                           std::max(1, this->model_seconds);
  return this->result;
}

}  // namespace dragonflyglade
