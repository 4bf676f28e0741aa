#include "dragonflyglade/gateway/placement_controller.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Demand for models moves within seconds; adapters wake the planner at once.
constexpr absl::Duration kPlanEvery = absl::Milliseconds(250);
// A round takes some milliseconds of a small machine's processor at 90 engines,
// and news that wake it come each few milliseconds. An adapter is there some
// ten milliseconds after its order in any case.
constexpr absl::Duration kPlanPause = absl::Milliseconds(20);
// Rounds take at most a sixth of the holder's time, so that its requests and
// reports are not held up: at 300 instances and 3,000 targets the holder used
// 71 % of its machine, and the fleet served 0.72 against 0.95 at 30.
constexpr int kPausePerRound = 5;
// The entry of an engine whose process ended is removed after three heartbeats.
constexpr absl::Duration kEntryLapses = absl::Seconds(4);

}  // namespace

PlacementController::PlacementController(
    asio::io_context& context, const GatewaySettings& settings,
    const WireFormat& wire, FleetState& fleet, LeaderLease& duty,
    ReportAggregator& hub, FleetChannel& channel, Metrics& metrics,
    EventLog& log, Tasks& tasks, Clock clock)
    : context(context),
      settings(settings),
      wire(wire),
      fleet(fleet),
      duty(duty),
      hub(hub),
      channel(channel),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(clock),
      planner(ResidencyOptions(), clock),
      wake(context) {
  this->channel.OnWaitingRequests([this] { this->WantPlan(); });
  this->channel.OnMissingModel(
      [this](const wire::TargetLack& lack) { this->TakeLack(lack); });
  this->channel.OnConnectionRefused(
      [this](const std::string& target) { this->TakeRefusing(target); });
}

asio::awaitable<void> PlacementController::Run() {
  absl::Duration pause = kPlanPause;
  while (true) {
    co_await Sleep(this->context, pause);
    if (!this->plan_wanted) co_await this->wake.Wait(kPlanEvery);
    this->plan_wanted = false;
    if (!this->duty.MayIssueOrders()) {
      if (this->acting) this->Forget();
      if (!this->duty.Held()) {
        this->hub.Clear();
        this->channel.ClearGrants();
      }
      continue;
    }
    if (!this->acting) {
      this->acting = true;
      this->ceilings.clear();
      this->log.Write("placement", "acting", {{"fence", this->duty.Fence()}});
    }
    const Instant begun = this->clock.Now();
    this->Follow();
    this->Plan();
    this->channel.Holdings().Set(this->Holdings());
    pause = std::clamp((this->clock.Now() - begun) * kPausePerRound, kPlanPause,
                       kPlanEvery);
  }
}

void PlacementController::TakeLack(const wire::TargetLack& lack) {
  const auto found = this->engines.find(lack.target);
  if (found == this->engines.end()) return;
  Engine& engine = *found->second;
  const auto model = engine.models.find(lack.model);
  const bool believed =
      model != engine.models.end() &&
      (lack.adapter.empty() || model->second.count(lack.adapter) > 0);
  const std::string name = ResidentKey(lack.model, lack.adapter);
  const bool on_its_way = engine.unready.count(name) > 0 ||
                          engine.loading == lack.model ||
                          engine.closing.count(lack.model) > 0;
  if (!believed || on_its_way || engine.ordering) return;
  this->log.Write("placement", "lacking",
                  {{"target", engine.id}, {"model", name}});
  engine.inspect = true;
}

// Its entry stands for some heartbeats more. Counted until then, its copies
// keep the planner from loading their models elsewhere.
void PlacementController::TakeRefusing(const std::string& target) {
  const auto found = this->engines.find(target);
  if (found == this->engines.end()) return;
  Engine& engine = *found->second;
  if (!this->HasEnded(engine)) {
    this->log.Write("placement", "refusing", {{"target", engine.id}});
    this->WantPlan();
  }
  engine.refused_at = this->clock.Now();
}

bool PlacementController::HasEnded(const Engine& engine) const {
  return engine.refused_at.has_value() &&
         this->clock.Now() - *engine.refused_at < kEntryLapses;
}

void PlacementController::Forget() {
  this->acting = false;
  this->engines.clear();
  this->channel.Holdings().Clear();
  this->log.Write("placement", "not acting", {{"held", this->duty.Held()}});
}

void PlacementController::Follow() {
  std::set<std::string> present;
  this->fleet.ForEachTarget([&](const TargetState& target) {
    const auto config = this->fleet.Config();
    const auto service = config->services.find(target.Record().service);
    if (service == config->services.end()) return;
    if (!service->second.engine.has_value()) return;
    present.insert(target.Record().id);
    this->FollowEngine(target);
  });
  for (auto item = this->engines.begin(); item != this->engines.end();) {
    if (present.count(item->first) == 0) {
      item = this->engines.erase(item);
    } else {
      ++item;
    }
  }
}

void PlacementController::FollowEngine(const TargetState& target) {
  const TargetRecord& record = target.Record();
  std::shared_ptr<Engine>& engine = this->engines[record.id];
  const bool known = engine != nullptr && engine->born_ms == record.born_ms &&
                     engine->service == record.service;
  if (known) {
    this->FollowRecord(*engine, target);
    return;
  }
  engine = std::make_shared<Engine>();
  engine->id = record.id;
  engine->service = record.service;
  engine->born_ms = record.born_ms;
  // Orders that it took of an earlier holder are not known here.
  engine->inspect = true;
  for (const ResidentModel& model : record.models) {
    engine->models[model.name] =
        std::set<std::string>(model.adapters.begin(), model.adapters.end());
  }
}

// The record says which models are there, at its last heartbeat; adapters are
// known better here. A record from before the last order says nothing of it.
void PlacementController::FollowRecord(Engine& engine,
                                       const TargetState& target) {
  const Instant now = this->clock.Now();
  const TargetRecord& record = target.Record();
  if (engine.loading.has_value()) {
    if (target.HoldsModel(*engine.loading)) {
      this->log.Write("placement", "loaded",
                      {{"target", engine.id}, {"model", *engine.loading}});
      engine.loading.reset();
    } else if (now > engine.loading_until) {
      engine.loading.reset();
      engine.inspect = true;
    }
  }
  const bool fresh = target.UpdatedAt() > engine.settled_at;
  if (engine.ordering || !fresh) return;
  for (auto closing = engine.closing.begin();
       closing != engine.closing.end();) {
    if (target.HoldsModel(*closing)) {
      ++closing;
      continue;
    }
    engine.models.erase(*closing);
    closing = engine.closing.erase(closing);
  }
  for (const ResidentModel& model : record.models) {
    if (engine.models.count(model.name) > 0) continue;
    engine.models[model.name] =
        std::set<std::string>(model.adapters.begin(), model.adapters.end());
  }
}

std::vector<wire::TargetHoldings> PlacementController::Holdings() const {
  std::vector<wire::TargetHoldings> all;
  for (const auto& [id, engine] : this->engines) {
    wire::TargetHoldings holdings;
    holdings.target = id;
    holdings.born_ms = engine->born_ms;
    for (const auto& [model, adapters] : engine->models) {
      for (const std::string& adapter : adapters) {
        std::string key = ResidentKey(model, adapter);
        if (engine->unready.count(key) > 0) continue;
        holdings.adapters.push_back(std::move(key));
      }
    }
    holdings.closing_models.assign(engine->closing.begin(),
                                   engine->closing.end());
    all.push_back(std::move(holdings));
  }
  return all;
}

void PlacementController::WantPlan() {
  this->plan_wanted = true;
  this->wake.Notify();
}

void PlacementController::TellHoldings() {
  this->channel.Holdings().Set(this->Holdings());
  this->channel.SchedulePush();
}

void PlacementController::Plan() {
  const auto config = this->fleet.Config();
  const std::map<ModelName, FleetDemand> demand = this->hub.Demand();
  for (const auto& [name, service] : config->services) {
    if (service.engine.has_value()) this->PlanService(service, demand);
  }
}

ModelLoadLimiter& PlacementController::LoadLimiterOf(
    const ServiceSpec& service) {
  const auto found = this->ceilings.find(service.name);
  if (found != this->ceilings.end()) return found->second;
  const ModelLoadLimiterOptions options{this->settings.load_window,
                                        this->settings.load_overage,
                                        this->settings.leader_handover_delay};
  ModelLoadLimiter& ceiling =
      this->ceilings
          .emplace(service.name, ModelLoadLimiter(options, this->clock))
          .first->second;
  ceiling.OnLeadershipAcquired(service.engine->loads_per_second);
  return ceiling;
}

void PlacementController::PlanService(
    const ServiceSpec& service,
    const std::map<ModelName, FleetDemand>& demand) {
  ModelLoadLimiter& ceiling = this->LoadLimiterOf(service);
  std::vector<DemandedModel> models;
  for (const ServedModel& served : service.engine->models) {
    DemandedModel model;
    model.name = served.name;
    model.memory_mb = served.memory_mb;
    model.adapter_mb = served.adapter_mb;
    model.from_store = served.load_time;
    model.load_time_from_disk = served.disk_load_time;
    model.load_time_from_memory = served.memory_load_time;
    const auto asked = demand.find({service.name, served.name, ""});
    if (asked != demand.end()) {
      model.load = asked->second.load;
      model.waiting = asked->second.waiting;
    }
    models.push_back(std::move(model));
  }
  std::vector<DemandedAdapter> adapters;
  for (const auto& [name, asked] : demand) {
    if (name.service != service.name || name.adapter.empty()) continue;
    adapters.push_back({name.model, name.adapter, asked.load, asked.waiting});
  }
  const auto residents_in_use = this->hub.ResidentsInUse();
  std::vector<EngineResidency> holdings;
  for (const auto& [id, engine] : this->engines) {
    if (engine->service != service.name) continue;
    const auto target = this->fleet.Target(id);
    EngineResidency item;
    item.id = id;
    item.memory_mb = service.engine->memory_mb;
    item.adapter_slots = service.engine->adapter_slots;
    item.models = engine->models;
    const auto in_use = residents_in_use.find(id);
    if (in_use != residents_in_use.end()) item.in_use = in_use->second;
    item.usable = target != nullptr && !target->Record().leaving &&
                  !this->HasEnded(*engine);
    item.answers = target != nullptr && !target->IsAvoided(this->clock.Now());
    item.loading = engine->loading.value_or("");
    // What it kept before its last order may have made way for that since.
    if (target != nullptr && target->UpdatedAt() > engine->settled_at) {
      const TargetRecord& record = target->Record();
      item.in_memory = {record.in_memory.begin(), record.in_memory.end()};
      item.on_disk = {record.on_disk.begin(), record.on_disk.end()};
    }
    item.busy = engine->ordering || engine->inspect ||
                engine->loading.has_value() || !engine->closing.empty();
    item.closing = !engine->closing.empty();
    holdings.push_back(std::move(item));
  }
  const std::vector<ResidencyChange> changes =
      this->planner.Plan(models, adapters, holdings,
                         ceiling.Left(service.engine->loads_per_second));
  for (const ResidencyChange& change : changes) this->Book(service, change);
  for (const auto& [id, engine] : this->engines) {
    if (engine->inspect && !engine->ordering) {
      engine->ordering = true;
      this->tasks.Spawn("inspect engine", this->Inspect(engine));
    }
  }
}

}  // namespace dragonflyglade::gateway
