#include "dragonflyglade/gateway/placement_controller.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Demand for models changes within seconds. Requests that wait for an adapter
// wake the planner immediately.
constexpr absl::Duration kPlanInterval = absl::Milliseconds(250);
// A planning round takes some milliseconds of CPU time on a small machine with
// 90 engines, and events that wake the planner arrive every few milliseconds.
// An adapter takes some ten milliseconds to load in any case.
constexpr absl::Duration kMinPlanPause = absl::Milliseconds(20);
// The pause is this many times the duration of the last round. So planning
// takes at most a sixth of the leader's time and does not delay its requests
// and reports.
constexpr int kPausePerPlanTime = 5;
// The store removes the entry of a terminated engine after three heartbeats.
constexpr absl::Duration kEntryExpiry = absl::Seconds(4);
// Of those that no order is planned for. A new leader that inspected some
// hundred engines at once would answer no questions and miss the renewal of its
// lease.
constexpr std::size_t kInspectionsPerRound = 8;
// Requests a second and slot. An engine in demand starts more, since its
// requests take a few seconds at most; a lower limit binds.
constexpr double kSevereLimitPerSlot = 0.125;

// Estimate of the requests that wait for a slot of the target.
int WaitingRequests(const TargetState& target, Instant now) {
  const int slots = target.Record().slots;
  if (slots <= 0) return 0;
  return std::max(0, static_cast<int>(target.EstimatedRequests(now)) - slots);
}

bool IsSeverelyLimited(const TargetState& target) {
  const std::optional<double> limit = target.RateLimit().Limit();
  return limit.has_value() &&
         *limit < kSevereLimitPerSlot * target.Record().slots;
}

}  // namespace

PlacementController::PlacementController(
    asio::io_context& context, const GatewaySettings& settings,
    const WireFormat& wire, FleetState& fleet, LeaderLease& leader_lease,
    ReportAggregator& aggregator, FleetChannel& channel, TargetPaths& paths,
    Metrics& metrics, EventLog& log, Tasks& tasks, Clock clock)
    : context(context),
      settings(settings),
      wire(wire),
      fleet(fleet),
      leader_lease(leader_lease),
      aggregator(aggregator),
      channel(channel),
      paths(paths),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(clock),
      planner(ResidencyOptions(), clock),
      wake(context) {
  this->metrics.AddGauge("model_loads_counted", [this] {
    return this->SumOfLoads(&ModelLoadLimiter::CountedLoads);
  });
  this->metrics.AddGauge("model_loads_open", [this] {
    return this->SumOfLoads(&ModelLoadLimiter::OpenLoads);
  });
  this->channel.OnWaitingRequests([this] { this->RequestPlan(); });
  this->channel.OnMissingModel(
      [this](const wire::TargetLack& lack) { this->HandleMissingModel(lack); });
  this->channel.OnConnectionRefused([this](const std::string& target) {
    this->HandleConnectionRefused(target);
  });
}

asio::awaitable<void> PlacementController::Run() {
  absl::Duration pause = kMinPlanPause;
  while (true) {
    co_await Sleep(this->context, pause);
    if (!this->plan_requested) co_await this->wake.Wait(kPlanInterval);
    this->plan_requested = false;
    if (!this->leader_lease.MayIssueOrders()) {
      if (this->acting) this->StopActing();
      if (!this->leader_lease.IsLeader()) {
        if (this->engines_fence.has_value()) this->ForgetEngines();
        this->aggregator.Clear();
        this->channel.ClearGrants();
      }
      continue;
    }
    if (!this->acting) this->StartActing();
    const Instant started_at = this->clock.Now();
    this->UpdateEngines();
    this->Plan();
    this->channel.Holdings().Set(this->CurrentHoldings());
    pause = std::clamp((this->clock.Now() - started_at) * kPausePerPlanTime,
                       kMinPlanPause, kPlanInterval);
  }
}

void PlacementController::HandleMissingModel(const wire::TargetLack& lack) {
  const auto found = this->engines.find(lack.target);
  if (found == this->engines.end()) return;
  Engine& engine = *found->second;
  const auto model = engine.models.find(lack.model);
  const bool expected_resident =
      model != engine.models.end() &&
      (lack.adapter.empty() || model->second.count(lack.adapter) > 0);
  const std::string name = ResidentKey(lack.model, lack.adapter);
  const bool in_transition = engine.changing_adapters.count(name) > 0 ||
                             engine.loading == lack.model ||
                             engine.unloading.count(lack.model) > 0;
  if (!expected_resident || in_transition || engine.is_busy) return;
  this->log.Write("placement", "lacking",
                  {{"target", engine.id}, {"model", name}});
  engine.needs_inspection = true;
}

// The target's entry remains in the store for a few heartbeats. If its copies
// counted until then, the planner would not load their models elsewhere.
void PlacementController::HandleConnectionRefused(const std::string& target) {
  const auto found = this->engines.find(target);
  if (found == this->engines.end()) return;
  Engine& engine = *found->second;
  if (!this->IsTerminated(engine)) {
    this->log.Write("placement", "target refuses connections",
                    {{"target", engine.id}});
    this->RequestPlan();
  }
  engine.connection_refused_at = this->clock.Now();
}

bool PlacementController::IsTerminated(const Engine& engine) const {
  return engine.connection_refused_at.has_value() &&
         this->clock.Now() - *engine.connection_refused_at < kEntryExpiry;
}

// If this instance was late to renew its lease and no other instance became
// leader meanwhile, the engines are as it left them. Inspecting them all again
// would make it late for the next renewal, too.
void PlacementController::StartActing() {
  const std::uint64_t fence = this->leader_lease.FencingToken();
  if (this->engines_fence != fence) this->ForgetEngines();
  this->acting = true;
  this->engines_fence = fence;
  this->log.Write("placement", "acting",
                  {{"fence", fence},
                   {"known_engines", static_cast<int>(this->engines.size())}});
}

void PlacementController::StopActing() {
  this->acting = false;
  if (!this->leader_lease.IsLeader()) this->ForgetEngines();
  this->log.Write("placement", "not acting",
                  {{"held", this->leader_lease.IsLeader()}});
}

void PlacementController::ForgetEngines() {
  this->engines.clear();
  this->channel.Holdings().Clear();
  this->engines_fence.reset();
}

void PlacementController::UpdateEngines() {
  std::set<std::string> present;
  this->fleet.ForEachTarget([&](const TargetState& target) {
    const auto config = this->fleet.Config();
    const auto service = config->services.find(target.Record().service);
    if (service == config->services.end()) return;
    if (!service->second.engine.has_value()) return;
    present.insert(target.Record().id);
    this->UpdateEngine(target);
  });
  for (auto item = this->engines.begin(); item != this->engines.end();) {
    if (present.count(item->first) == 0) {
      item = this->engines.erase(item);
    } else {
      ++item;
    }
  }
}

void PlacementController::UpdateEngine(const TargetState& target) {
  const TargetRecord& record = target.Record();
  std::shared_ptr<Engine>& engine = this->engines[record.id];
  const bool is_known = engine != nullptr &&
                        engine->born_ms == record.born_ms &&
                        engine->service == record.service;
  if (is_known) {
    this->ApplyTargetRecord(*engine, target);
    return;
  }
  engine = std::make_shared<Engine>();
  engine->id = record.id;
  engine->service = record.service;
  engine->born_ms = record.born_ms;
  // Orders that the engine accepted from an earlier leader are not known here.
  engine->needs_inspection = true;
  for (const ResidentModel& model : record.models) {
    engine->models[model.name] =
        std::set<std::string>(model.adapters.begin(), model.adapters.end());
  }
}

// The record shows the resident models as of the target's last heartbeat;
// adapters are tracked here more precisely. A record from before the last order
// does not show that order's effect and is ignored.
void PlacementController::ApplyTargetRecord(Engine& engine,
                                            const TargetState& target) {
  const Instant now = this->clock.Now();
  const TargetRecord& record = target.Record();
  if (engine.loading.has_value()) {
    const bool listed = target.HoldsModel(*engine.loading);
    engine.listed_before_load = engine.listed_before_load && listed;
    if (listed && !engine.listed_before_load) {
      this->log.Write("placement", "loaded",
                      {{"target", engine.id},
                       {"model", *engine.loading},
                       {"since_planned_ms", absl::ToInt64Milliseconds(
                                                now - engine.loading_since)}});
      engine.loading.reset();
      engine.cached = record.cached;
    } else if (now > engine.loading_deadline) {
      engine.loading.reset();
      engine.needs_inspection = true;
    }
  }
  const bool fresh = target.UpdatedAt() > engine.last_order_ended_at;
  if (engine.is_busy || !fresh) return;
  for (auto model = engine.unloading.begin();
       model != engine.unloading.end();) {
    if (target.HoldsModel(*model)) {
      ++model;
      continue;
    }
    engine.models.erase(*model);
    model = engine.unloading.erase(model);
  }
  for (const ResidentModel& model : record.models) {
    if (engine.models.count(model.name) > 0) continue;
    engine.models[model.name] =
        std::set<std::string>(model.adapters.begin(), model.adapters.end());
  }
}

wire::TargetHoldings PlacementController::HoldingsOf(const Engine& engine) {
  wire::TargetHoldings holdings;
  holdings.target = engine.id;
  holdings.born_ms = engine.born_ms;
  for (const auto& [model, adapters] : engine.models) {
    for (const std::string& adapter : adapters) {
      std::string key = ResidentKey(model, adapter);
      if (engine.changing_adapters.count(key) > 0) continue;
      holdings.adapters.push_back(std::move(key));
    }
  }
  holdings.closing_models.assign(engine.unloading.begin(),
                                 engine.unloading.end());
  return holdings;
}

std::vector<wire::TargetHoldings> PlacementController::CurrentHoldings() const {
  std::vector<wire::TargetHoldings> all;
  all.reserve(this->engines.size());
  for (const auto& [id, engine] : this->engines) {
    all.push_back(HoldingsOf(*engine));
  }
  return all;
}

void PlacementController::RequestPlan() {
  this->plan_requested = true;
  this->wake.Notify();
}

// A new leader inspects all engines. If each inspection computed the
// holdings of all of them, a fleet of some hundred engines would stop the event
// loop for seconds.
void PlacementController::PublishHoldings(const Engine& engine) {
  const auto current = this->engines.find(engine.id);
  if (current == this->engines.end()) return;
  // The target restarted while the order was in progress.
  if (current->second->born_ms != engine.born_ms) return;
  const bool changed = this->channel.Holdings().Update(HoldingsOf(engine));
  if (changed) this->channel.SchedulePush();
}

void PlacementController::Plan() {
  const auto config = this->fleet.Config();
  const std::map<ModelName, FleetDemand> demand = this->aggregator.Demand();
  for (const auto& [name, service] : config->services) {
    if (service.engine.has_value()) this->PlanService(service, demand);
  }
  this->InspectSomeEngines(demand);
}

ModelLoadLimiter& PlacementController::LoadLimiterOf(
    const ServiceSpec& service) {
  auto found = this->load_limiters.find(service.name);
  if (found == this->load_limiters.end()) {
    const ModelLoadLimiterOptions options{this->settings.load_window,
                                          this->settings.load_overage,
                                          this->settings.leader_handover_delay};
    found = this->load_limiters
                .emplace(service.name, ModelLoadLimiter(options, this->clock))
                .first;
  }
  ModelLoadLimiter& limiter = found->second;
  const double rate = service.engine->loads_per_second;
  if (limiter.OnLeadership(this->leader_lease.FencingToken(), rate)) {
    this->log.Write("placement", "load limit",
                    {{"service", service.name},
                     {"counted", limiter.CountedLoads()},
                     {"remaining", limiter.RemainingLoads(rate)}});
  }
  return limiter;
}

double PlacementController::SumOfLoads(LoadCount count) const {
  int sum = 0;
  for (const auto& [service, limiter] : this->load_limiters) {
    sum += (limiter.*count)();
  }
  return sum;
}

void PlacementController::PlanService(
    const ServiceSpec& service,
    const std::map<ModelName, FleetDemand>& demand) {
  ModelLoadLimiter& limiter = this->LoadLimiterOf(service);
  std::vector<DemandedModel> models;
  for (const ServedModel& served : service.engine->models) {
    DemandedModel model;
    model.name = served.name;
    model.memory_mb = served.memory_mb;
    model.adapter_mb = served.adapter_mb;
    model.load_time_from_store = served.load_time;
    model.load_time_from_disk = served.disk_load_time;
    model.load_time_from_memory = served.memory_load_time;
    model.adapters = served.adapters;
    const auto found_demand = demand.find({service.name, served.name, ""});
    if (found_demand != demand.end()) {
      const DemandLevel& level = found_demand->second.level;
      model.load = ExpectedLoad(level, served.load_time);
      model.remaining_load = RemainingLoad(level, served.load_time);
      model.waiting_requests = found_demand->second.waiting;
    }
    models.push_back(std::move(model));
  }
  std::vector<DemandedAdapter> adapters;
  for (const auto& [name, found_demand] : demand) {
    if (name.service != service.name || name.adapter.empty()) continue;
    adapters.push_back({name.model, name.adapter, found_demand.level.average,
                        found_demand.waiting});
  }
  const auto residents_in_use = this->aggregator.ResidentsInUse();
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
    item.usable = target != nullptr && !target->IsLeaving() &&
                  !this->fleet.IsEvacuated(target->Record().zone) &&
                  !this->IsTerminated(*engine);
    item.responsive =
        target != nullptr && !target->IsAvoided(this->clock.Now());
    item.limited = target != nullptr && IsSeverelyLimited(*target);
    item.loading = engine->loading.value_or("");
    if (engine->cached.has_value()) {
      const auto& [in_memory, on_disk] = *engine->cached;
      item.in_memory = {in_memory.begin(), in_memory.end()};
      item.on_disk = {on_disk.begin(), on_disk.end()};
    }
    // An engine that was not inspected since then gets no order at once.
    item.load_is_counted =
        !engine->needs_inspection && limiter.IsCounted(NextOrderKey(*engine));
    item.has_open_order = engine->is_busy || engine->loading.has_value() ||
                          !engine->unloading.empty();
    item.unloading = !engine->unloading.empty();
    item.closing = {engine->unloading.begin(), engine->unloading.end()};
    item.waiting_requests =
        target == nullptr ? 0 : WaitingRequests(*target, this->clock.Now());
    holdings.push_back(std::move(item));
  }
  const std::vector<ResidencyChange> changes = this->planner.Plan(
      models, adapters, holdings,
      limiter.RemainingLoads(service.engine->loads_per_second));
  for (const ResidencyChange& change : changes)
    this->ScheduleOrder(service, change);
}

// Inspects some of the engines whose residency is unknown. Engines that hold a
// model which requests wait for go first, those that did not answer go last.
void PlacementController::InspectSomeEngines(
    const std::map<ModelName, FleetDemand>& demand) {
  std::set<std::string_view> awaited;
  for (const auto& [name, found] : demand) {
    if (found.waiting > 0) awaited.insert(name.model);
  }
  const auto is_awaited = [&](const Engine& engine) {
    return std::any_of(
        engine.models.begin(), engine.models.end(),
        [&](const auto& model) { return awaited.count(model.first) > 0; });
  };
  std::vector<std::shared_ptr<Engine>> uninspected;
  for (const auto& [id, engine] : this->engines) {
    if (!engine->needs_inspection || engine->is_busy) continue;
    uninspected.push_back(engine);
  }
  const auto order = [&](const Engine& engine) {
    const bool was_inspected = engine.last_order_ended_at != Instant();
    return std::make_tuple(was_inspected, !is_awaited(engine),
                           engine.last_order_ended_at);
  };
  std::sort(uninspected.begin(), uninspected.end(),
            [&](const auto& one, const auto& other) {
              return order(*one) < order(*other);
            });
  uninspected.resize(std::min(uninspected.size(), kInspectionsPerRound));
  for (const std::shared_ptr<Engine>& engine : uninspected) {
    this->BeginInspection(engine);
  }
}

void PlacementController::BeginInspection(
    const std::shared_ptr<Engine>& engine) {
  engine->is_busy = true;
  this->tasks.Spawn("inspect engine", this->InspectEngine(engine));
}

}  // namespace dragonflyglade::gateway
