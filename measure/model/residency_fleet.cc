#include "measure/model/residency_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "absl/random/distributions.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(50);
constexpr absl::Duration kPlanInterval = absl::Milliseconds(250);
constexpr absl::Duration kUnobserved = absl::Seconds(4);
// Demand moves to other models in this time.
constexpr absl::Duration kShiftTime = absl::Seconds(2);
constexpr absl::Duration kOrderTime = absl::Milliseconds(100);
// An unload waits until the requests that use the model have ended.
constexpr absl::Duration kRequestTime = absl::Seconds(1);
constexpr double kMeanWorkMs = 50;
constexpr double kLateMs = 300;
// Demand is proportional to the rank to the power of minus this exponent.
constexpr double kDemandExponent = 0.5;
constexpr std::size_t kKeptInMemory = 1;
constexpr std::size_t kKeptOnDisk = 4;

}  // namespace

ResidencyFleet::ResidencyFleet(const ResidencyRun& run)
    : run(run),
      clock(&this->manual),
      random(run.seed),
      planner(ResidencyOptions(), this->clock),
      limiter(ModelLoadLimiterOptions(), this->clock) {
  for (const ModelGroup& group : run.groups) this->AddModels(group);
  this->engines.resize(static_cast<std::size_t>(run.engines));
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    this->engines[i].residency.id = fmt::format("e{:03}", i);
    this->engines[i].residency.memory_mb = run.memory_mb;
  }
  this->PlaceModels();
}

void ResidencyFleet::AddModels(const ModelGroup& group) {
  for (int i = 0; i < group.models; ++i) {
    const double part = group.models > 1 ? i / (group.models - 1.0) : 0;
    Model model{{}, DemandTrend(this->clock.Now())};
    model.spec.name = fmt::format("m{:03}", this->models.size());
    model.spec.memory_mb =
        group.least_memory_mb +
        part * (group.most_memory_mb - group.least_memory_mb);
    model.spec.load_time_from_store =
        group.least_load_time +
        part * (group.most_load_time - group.least_load_time);
    model.spec.load_time_from_disk = 0.4 * model.spec.load_time_from_store;
    model.spec.load_time_from_memory = 0.3 * model.spec.load_time_from_store;
    this->models.push_back(std::move(model));
  }
}

// One copy of each model, the large ones first, at random engines.
void ResidencyFleet::PlaceModels() {
  std::vector<const Model*> order;
  for (const Model& model : this->models) order.push_back(&model);
  std::shuffle(order.begin(), order.end(), this->random);
  std::stable_sort(order.begin(), order.end(), [](auto* one, auto* other) {
    return one->spec.memory_mb > other->spec.memory_mb;
  });
  std::map<std::string, double> used_mb;
  for (const Model* model : order) {
    while (true) {
      Engine& engine =
          this->engines[absl::Uniform(this->random, 0U, this->engines.size())];
      double& used = used_mb[engine.residency.id];
      if (used + model->spec.memory_mb > this->run.memory_mb) continue;
      used += model->spec.memory_mb;
      engine.residency.models[model->spec.name];
      break;
    }
  }
}

void ResidencyFleet::ShiftDemand() {
  std::vector<std::size_t> order(this->models.size());
  std::iota(order.begin(), order.end(), 0U);
  std::shuffle(order.begin(), order.end(), this->random);
  const auto demanded = static_cast<std::size_t>(this->run.demanded_models);
  double total = 0;
  for (std::size_t rank = 0; rank < demanded; ++rank) {
    total += std::pow(rank + 1, -kDemandExponent);
  }
  const double rest = (1 - this->run.demanded_part) /
                      static_cast<double>(order.size() - demanded);
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    Model& model = this->models[order[rank]];
    model.previous_weight = model.weight;
    model.weight = rank < demanded
                       ? this->run.demanded_part *
                             std::pow(rank + 1, -kDemandExponent) / total
                       : rest;
  }
  this->shifted_at = this->clock.Now();
}

double ResidencyFleet::CurrentWeight(const Model& model) const {
  const double part = std::min(
      1.0,
      absl::FDivDuration(this->clock.Now() - this->shifted_at, kShiftTime));
  return model.previous_weight + part * (model.weight - model.previous_weight);
}

void ResidencyFleet::SendRequests() {
  const double work_ms = this->run.utilisation * this->run.engines *
                         absl::ToDoubleMilliseconds(kStep);
  for (Model& model : this->models) {
    const double mean = this->CurrentWeight(model) * work_ms / kMeanWorkMs;
    const int requests = absl::Poisson<int>(this->random, mean);
    for (int i = 0; i < requests; ++i) {
      this->SendRequest(model,
                        absl::Exponential(this->random, 1 / kMeanWorkMs));
    }
  }
}

void ResidencyFleet::SendRequest(Model& model, double work_ms) {
  model.trend.Add(work_ms, this->clock.Now());
  const std::string& name = model.spec.name;
  int candidates = 0;
  Engine* best = nullptr;
  for (Engine& engine : this->engines) {
    if (engine.residency.models.count(name) == 0) continue;
    if (engine.residency.loading == name || engine.unloading == name) continue;
    candidates += 1;
    if (best == nullptr || engine.backlog_ms < best->backlog_ms) best = &engine;
  }
  this->counts.requests += 1;
  if (best == nullptr) {
    this->counts.no_copy += 1;
    return;
  }
  if (candidates == 1) this->counts.one_candidate += 1;
  if (best->backlog_ms > kLateMs) this->counts.late += 1;
  best->backlog_ms += work_ms;
  best->work_ms += work_ms;
  best->last_use[name] = this->clock.Now();
}

void ResidencyFleet::EndOrders() {
  const Instant now = this->clock.Now();
  for (Engine& engine : this->engines) {
    EngineResidency& residency = engine.residency;
    if (!residency.has_open_order || engine.order_ends_at > now) continue;
    residency.has_open_order = false;
    residency.loading.clear();
    if (engine.unloading.empty()) continue;
    residency.models.erase(engine.unloading);
    residency.unloading = false;
    residency.closing.clear();
    std::erase(engine.kept, engine.unloading);
    engine.kept.push_back(std::exchange(engine.unloading, ""));
    if (engine.kept.size() > kKeptInMemory + kKeptOnDisk) {
      engine.kept.erase(engine.kept.begin());
    }
    const auto in_memory = engine.kept.end() - kKeptInMemory;
    residency.on_disk = {engine.kept.begin(), in_memory};
    residency.in_memory = {in_memory, engine.kept.end()};
  }
}

void ResidencyFleet::Plan() {
  const Instant now = this->clock.Now();
  std::vector<DemandedModel> demanded;
  for (Model& model : this->models) {
    DemandedModel item = model.spec;
    const DemandLevel level = model.trend.Level(now, now);
    item.load = level.average;
    if (this->run.fixed_thresholds) {
      item.load_time_from_store = absl::Seconds(5);
    } else {
      item.load = ExpectedLoad(level, item.load_time_from_store);
      item.remaining_load = RemainingLoad(level, item.load_time_from_store);
    }
    demanded.push_back(std::move(item));
  }
  std::vector<EngineResidency> holdings;
  for (Engine& engine : this->engines) {
    EngineResidency item = engine.residency;
    item.waiting_requests = static_cast<int>(
        std::max(0.0, engine.backlog_ms - kLateMs) / kMeanWorkMs);
    for (const auto& [name, used_at] : engine.last_use) {
      if (now - used_at < kRequestTime) item.in_use.insert(name);
    }
    holdings.push_back(std::move(item));
  }
  const auto changes = this->planner.Plan(
      demanded, {}, holdings,
      this->limiter.RemainingLoads(this->run.loads_per_second));
  for (const ResidencyChange& change : changes) this->Apply(change);
}

void ResidencyFleet::Apply(const ResidencyChange& change) {
  const auto engine = std::find_if(
      this->engines.begin(), this->engines.end(),
      [&](const Engine& one) { return one.residency.id == change.target; });
  const auto model = std::find_if(
      this->models.begin(), this->models.end(),
      [&](const Model& one) { return one.spec.name == change.model; });
  EngineResidency& residency = engine->residency;
  residency.has_open_order = true;
  this->result.orders += 1;
  engine->order_ends_at = this->clock.Now() + kOrderTime;
  if (change.kind == ResidencyChange::Kind::kUnload) {
    engine->unloading = change.model;
    residency.unloading = true;
    residency.closing = {change.model};
    const bool in_use =
        engine->last_use.count(change.model) > 0 &&
        this->clock.Now() - engine->last_use[change.model] < kRequestTime;
    if (in_use) engine->order_ends_at += kRequestTime;
    return;
  }
  this->result.loads += 1;
  residency.models[change.model];
  residency.loading = change.model;
  absl::Duration load_time = model->spec.load_time_from_store;
  if (residency.on_disk.count(change.model) > 0)
    load_time = model->spec.load_time_from_disk;
  if (residency.in_memory.count(change.model) > 0)
    load_time = model->spec.load_time_from_memory;
  engine->order_ends_at += load_time;
  if (!change.uses_store) return;
  this->result.store_loads += 1;
  this->limiter.RecordBegun({change.target, 0, this->result.loads});
}

void ResidencyFleet::Step() {
  this->EndOrders();
  this->SendRequests();
  if (this->clock.Now() >= this->next_plan) {
    this->Plan();
    this->next_plan = this->clock.Now() + kPlanInterval;
  }
  for (Engine& engine : this->engines) {
    engine.backlog_ms =
        std::max(0.0, engine.backlog_ms - absl::ToDoubleMilliseconds(kStep));
  }
  this->manual.Advance(kStep);
}

void ResidencyFleet::BeginCounts() {
  this->counts = Counts();
  for (Engine& engine : this->engines) engine.work_ms = 0;
}

void ResidencyFleet::EndCounts() {
  const double requests = this->counts.requests * this->run.shifts;
  this->result.one_candidate_part += this->counts.one_candidate / requests;
  this->result.late_part += this->counts.late / requests;
  this->result.no_copy_part += this->counts.no_copy / requests;
  double total = 0;
  double most = 0;
  for (const Engine& engine : this->engines) {
    total += engine.work_ms;
    most = std::max(most, engine.work_ms);
  }
  this->result.busiest_over_mean +=
      most * this->run.engines / total / this->run.shifts;
}

ResidencyRunResult ResidencyFleet::Run() {
  for (int shift = 0; shift < this->run.shifts; ++shift) {
    this->ShiftDemand();
    bool counting = false;
    while (this->clock.Now() - this->shifted_at < this->run.shift_period) {
      if (!counting && this->clock.Now() - this->shifted_at >= kUnobserved) {
        this->BeginCounts();
        counting = true;
      }
      this->Step();
    }
    this->EndCounts();
  }
  return this->result;
}

}  // namespace dragonflyglade
