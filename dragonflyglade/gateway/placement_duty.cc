#include "dragonflyglade/gateway/placement_duty.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/gateway/caught.h"
#include "dragonflyglade/gateway/http_text.h"

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
// An engine answers an order in milliseconds.
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(400);
// An order without an answer may be carried out late; the same one again with
// the same expected count makes the late one void.
constexpr int kOrderTries = 3;
constexpr absl::Duration kOrderPause = absl::Milliseconds(50);
// An adapter is there some ten milliseconds after the order was taken.
constexpr absl::Duration kAdapterLoads = absl::Milliseconds(15);
// Before a model is unloaded, instances are told to send nothing more for it;
// the news is there within a message's time.
constexpr absl::Duration kClosingNews = absl::Milliseconds(60);
// Reports tell of some hundred milliseconds ago.
constexpr absl::Duration kReportLag = absl::Milliseconds(600);
// A load that is not seen to end by this many times its usual time is looked
// into: loads slow down in proportion to how many run.
constexpr int kLoadPatience = 4;
// The entry of an engine whose process ended is removed after three heartbeats.
constexpr absl::Duration kEntryLapses = absl::Seconds(4);

std::string PlaceOf(const ResidencyChange& change) {
  return ResidentKey(change.model, change.adapter);
}

}  // namespace

PlacementDuty::PlacementDuty(asio::io_context& context,
                             const GatewaySettings& settings,
                             const WireFormat& wire, FleetState& fleet,
                             DutyLease& duty, ReportHub& hub,
                             FleetChannel& channel, Metrics& metrics,
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
  this->channel.OnWaiting([this] { this->WantPlan(); });
  this->channel.OnLack(
      [this](const wire::TargetLack& lack) { this->TakeLack(lack); });
  this->channel.OnRefusing(
      [this](const std::string& target) { this->TakeRefusing(target); });
}

asio::awaitable<void> PlacementDuty::Run() {
  absl::Duration pause = kPlanPause;
  while (true) {
    co_await Sleep(this->context, pause);
    if (!this->plan_wanted) co_await this->wake.Wait(kPlanEvery);
    this->plan_wanted = false;
    if (!this->duty.MayAct()) {
      if (this->acting) this->Forget();
      if (!this->duty.Held()) {
        this->hub.Clear();
        this->channel.ForgetGrants();
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

void PlacementDuty::TakeLack(const wire::TargetLack& lack) {
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
void PlacementDuty::TakeRefusing(const std::string& target) {
  const auto found = this->engines.find(target);
  if (found == this->engines.end()) return;
  Engine& engine = *found->second;
  if (!this->HasEnded(engine)) {
    this->log.Write("placement", "refusing", {{"target", engine.id}});
    this->WantPlan();
  }
  engine.refused_at = this->clock.Now();
}

bool PlacementDuty::HasEnded(const Engine& engine) const {
  return engine.refused_at.has_value() &&
         this->clock.Now() - *engine.refused_at < kEntryLapses;
}

void PlacementDuty::Forget() {
  this->acting = false;
  this->engines.clear();
  this->channel.Holdings().Clear();
  this->log.Write("placement", "not acting", {{"held", this->duty.Held()}});
}

void PlacementDuty::Follow() {
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

void PlacementDuty::FollowEngine(const TargetState& target) {
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
void PlacementDuty::FollowRecord(Engine& engine, const TargetState& target) {
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

std::vector<wire::TargetHoldings> PlacementDuty::Holdings() const {
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

void PlacementDuty::WantPlan() {
  this->plan_wanted = true;
  this->wake.Notify();
}

void PlacementDuty::TellHoldings() {
  this->channel.Holdings().Set(this->Holdings());
  this->channel.PushSoon();
}

void PlacementDuty::Plan() {
  const auto config = this->fleet.Config();
  const std::map<ModelName, FleetDemand> demand = this->hub.Demand();
  for (const auto& [name, service] : config->services) {
    if (service.engine.has_value()) this->PlanService(service, demand);
  }
}

LoadCeiling& PlacementDuty::CeilingOf(const ServiceSpec& service) {
  const auto found = this->ceilings.find(service.name);
  if (found != this->ceilings.end()) return found->second;
  const LoadCeilingOptions options{this->settings.load_window,
                                   this->settings.load_overage,
                                   this->settings.quiet_between_holders};
  LoadCeiling& ceiling =
      this->ceilings.emplace(service.name, LoadCeiling(options, this->clock))
          .first->second;
  ceiling.TakenOver(service.engine->loads_per_second);
  return ceiling;
}

void PlacementDuty::PlanService(
    const ServiceSpec& service,
    const std::map<ModelName, FleetDemand>& demand) {
  LoadCeiling& ceiling = this->CeilingOf(service);
  std::vector<WantedModel> models;
  for (const ServedModel& served : service.engine->models) {
    WantedModel model;
    model.name = served.name;
    model.memory_mb = served.memory_mb;
    model.adapter_mb = served.adapter_mb;
    model.from_store = served.load_time;
    model.from_disk = served.disk_load_time;
    model.from_memory = served.memory_load_time;
    const auto asked = demand.find({service.name, served.name, ""});
    if (asked != demand.end()) {
      model.load = asked->second.load;
      model.waiting = asked->second.waiting;
    }
    models.push_back(std::move(model));
  }
  std::vector<WantedAdapter> adapters;
  for (const auto& [name, asked] : demand) {
    if (name.service != service.name || name.adapter.empty()) continue;
    adapters.push_back({name.model, name.adapter, asked.load, asked.waiting});
  }
  const auto residents_in_use = this->hub.ResidentsInUse();
  std::vector<EngineHoldings> holdings;
  for (const auto& [id, engine] : this->engines) {
    if (engine->service != service.name) continue;
    const auto target = this->fleet.Target(id);
    EngineHoldings item;
    item.id = id;
    item.memory_mb = service.engine->memory_mb;
    item.adapter_slots = service.engine->adapter_slots;
    item.models = engine->models;
    const auto in_use = residents_in_use.find(id);
    if (in_use != residents_in_use.end()) item.in_use = in_use->second;
    item.usable = target != nullptr && !target->Record().leaving &&
                  !this->HasEnded(*engine);
    item.answers = target != nullptr && !target->Avoided(this->clock.Now());
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

bool PlacementDuty::Book(const ServiceSpec& service,
                         const ResidencyChange& change) {
  const auto found = this->engines.find(change.target);
  if (found == this->engines.end() || found->second->ordering) return false;
  Engine& engine = *found->second;
  engine.ordering = true;
  const bool loads = change.kind == ResidencyChange::Kind::kLoad;
  if (loads && change.adapter.empty()) {
    engine.models[change.model];
    engine.loading = change.model;
    const auto& served = service.engine->models;
    const auto model = std::find_if(
        served.begin(), served.end(),
        [&](const ServedModel& item) { return item.name == change.model; });
    engine.loading_until = this->clock.Now() + kLoadPatience * model->load_time;
    if (change.from_store) this->CeilingOf(service).Began();
  } else if (loads) {
    engine.models[change.model].insert(change.adapter);
    engine.unready.insert(PlaceOf(change));
  } else if (change.adapter.empty()) {
    engine.closing.insert(change.model);
  } else {
    engine.unready.insert(PlaceOf(change));
  }
  this->tasks.Spawn("carry out order", this->CarryOut(found->second, change));
  return true;
}

asio::awaitable<ExchangeOutcome> PlacementDuty::Call(TargetState& target,
                                                     HttpCallText call) {
  const std::string address = target.Record().address;
  std::string head = RequestText(call, address);
  TargetExchange exchange(this->context, target.connections, this->wire,
                          this->clock);
  const Instant give_up = this->clock.Now() + kOrderTimeout;
  co_return co_await exchange.Run(address, "", std::move(head), call.body,
                                  give_up);
}

asio::awaitable<std::optional<OrderAnswer>> PlacementDuty::SendOrder(
    const Engine& engine, const ResidencyChange& change) {
  const std::shared_ptr<TargetState> target = this->fleet.Target(engine.id);
  if (target == nullptr) co_return OrderAnswer::kWrongTarget;
  EngineOrder order;
  order.load = change.kind == ResidencyChange::Kind::kLoad;
  order.model = change.model;
  order.adapter = change.adapter;
  order.orders_taken = engine.orders_taken;
  order.holder = this->settings.instance;
  order.fence = this->duty.Fence();
  HttpCallText call = this->wire.encode_order(engine.id, order);
  const ExchangeOutcome outcome = co_await this->Call(*target, std::move(call));
  this->metrics.Count("orders");
  if (const auto* whole = std::get_if<WholeAnswer>(&outcome)) {
    co_return this->wire.decode_order_answer(whole->head.status);
  }
  if (const auto* declined = std::get_if<Declined>(&outcome)) {
    co_return this->wire.decode_order_answer(declined->head.status);
  }
  co_return std::nullopt;
}

// However the order ends, the engine takes others after it.
asio::awaitable<void> PlacementDuty::CarryOut(std::shared_ptr<Engine> engine,
                                              ResidencyChange change) {
  const std::exception_ptr fault =
      co_await Caught(this->GiveOrder(*engine, change));
  if (fault) engine->inspect = true;
  engine->unready.erase(PlaceOf(change));
  engine->settled_at = this->clock.Now();
  engine->ordering = false;
  this->TellHoldings();
  this->WantPlan();
  if (fault) std::rethrow_exception(fault);
}

asio::awaitable<void> PlacementDuty::GiveOrder(Engine& engine,
                                               const ResidencyChange& change) {
  if (change.kind == ResidencyChange::Kind::kUnload) {
    this->TellHoldings();
    co_await Sleep(this->context, kClosingNews);
  }
  std::optional<OrderAnswer> answer;
  for (int attempt = 0; attempt < kOrderTries && !answer.has_value();
       ++attempt) {
    // Checked as late as possible: whoever lost the duty must not send.
    if (!this->duty.MayAct()) break;
    answer = co_await this->SendOrder(engine, change);
    if (!answer.has_value()) co_await Sleep(this->context, kOrderPause);
  }
  this->log.Write(
      "placement", "order",
      {{"target", engine.id},
       {"load", change.kind == ResidencyChange::Kind::kLoad},
       {"model", PlaceOf(change)},
       {"from_store", change.from_store},
       {"expected", engine.orders_taken},
       {"fence", this->duty.Fence()},
       {"answer", answer.has_value() ? static_cast<int>(*answer) : -1}});
  if (answer.has_value()) {
    this->Settle(engine, change, *answer);
  } else {
    engine.inspect = true;
  }
  const bool adapter_loads = answer == OrderAnswer::kAccepted &&
                             !change.adapter.empty() &&
                             change.kind == ResidencyChange::Kind::kLoad;
  if (adapter_loads) co_await Sleep(this->context, kAdapterLoads);
}

void PlacementDuty::Settle(Engine& engine, const ResidencyChange& change,
                           OrderAnswer answer) {
  const bool loads = change.kind == ResidencyChange::Kind::kLoad;
  const bool of_adapter = !change.adapter.empty();
  switch (answer) {
    case OrderAnswer::kAccepted:
      engine.orders_taken += 1;
      break;
    case OrderAnswer::kAlreadyHolds:
      // An adapter that nobody uses is dropped at once, which counts as an
      // order taken.
      if (of_adapter && !loads) engine.orders_taken += 1;
      if (!of_adapter && loads) engine.loading.reset();
      break;
    case OrderAnswer::kWrongTarget:
    case OrderAnswer::kConflict:
    case OrderAnswer::kFenced:
    case OrderAnswer::kInvalid:
      engine.inspect = true;
      return;
  }
  if (!of_adapter || loads) return;
  if (answer == OrderAnswer::kAccepted) {
    // Requests still use it, and its place is not free until they end.
    engine.inspect = true;
    return;
  }
  engine.models[change.model].erase(change.adapter);
}

asio::awaitable<void> PlacementDuty::Inspect(std::shared_ptr<Engine> engine) {
  const std::exception_ptr fault = co_await Caught(this->AskForReport(*engine));
  engine->settled_at = this->clock.Now();
  engine->ordering = false;
  this->TellHoldings();
  if (fault) std::rethrow_exception(fault);
}

asio::awaitable<void> PlacementDuty::AskForReport(Engine& engine) {
  // A report tells of a moment ago: asked too early, it would not yet show
  // the last order.
  const absl::Duration since = this->clock.Now() - engine.settled_at;
  if (since < kReportLag) co_await Sleep(this->context, kReportLag - since);
  const std::shared_ptr<TargetState> target = this->fleet.Target(engine.id);
  if (target == nullptr || !this->duty.MayAct()) co_return;
  HttpCallText call = this->wire.encode_report_call(engine.id);
  const ExchangeOutcome outcome = co_await this->Call(*target, std::move(call));
  this->metrics.Count("engine_reports");
  const auto* whole = std::get_if<WholeAnswer>(&outcome);
  const bool known = whole != nullptr && this->TakeReport(engine, whole->body);
  this->log.Write("placement", "inspected",
                  {{"target", engine.id},
                   {"orders_taken", engine.orders_taken},
                   {"known", known}});
}

bool PlacementDuty::TakeReport(Engine& engine, std::string_view body) {
  const Result<EngineReport> decoded = this->wire.decode_report(body);
  if (!decoded.Ok() || decoded.Value().busy) return false;
  const EngineReport& report = decoded.Value();
  engine.inspect = false;
  engine.orders_taken = report.orders_taken;
  engine.models.clear();
  engine.closing.clear();
  engine.loading.reset();
  for (const ResidentModel& model : report.models) {
    engine.models[model.name] =
        std::set<std::string>(model.adapters.begin(), model.adapters.end());
  }
  for (const std::string& pending : report.pending_adapters) {
    const std::size_t slash = pending.find('/');
    if (slash == std::string::npos) continue;
    engine.models[pending.substr(0, slash)].insert(pending.substr(slash + 1));
  }
  return true;
}

}  // namespace dragonflyglade::gateway
