#include "dragonflyglade/instance/placement_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/peer/heartbeat.h"

namespace dragonflyglade {
namespace {

constexpr int kLedgerUpdateAttempts = 40;
constexpr absl::Duration kInitialLedgerRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kMaxLedgerRetryDelay = absl::Seconds(2);
constexpr absl::Duration kDemandRefreshPeriod = absl::Seconds(5);
// Number of instances that try to acquire the placement role of one pool.
constexpr std::size_t kRoleCandidates = 2;

}  // namespace

std::string LedgerKey(std::string_view pool, std::string_view target) {
  return fmt::format("ledger/{}/{}", pool, target);
}

PlacementRunner::PlacementRunner(const KvClient& kv, PeerClient& peers,
                                 Membership& membership,
                                 TargetRegistry& targets,
                                 const CatalogHolder& catalog,
                                 DemandTracker& demand, AuditTrail& audit,
                                 TargetCallOptions call_options,
                                 PlacementOptions options, Clock clock)
    : kv(kv),
      peers(peers),
      membership(membership),
      targets(targets),
      catalog(catalog),
      demand(demand),
      audit(audit),
      call_options(call_options),
      options(options),
      clock(clock),
      worker([this] { return this->RunRound(); }) {}

PlacementRunner::~PlacementRunner() { this->Stop(); }

void PlacementRunner::Start() { this->worker.Start(); }

void PlacementRunner::Stop() {
  this->worker.Stop();
  for (auto& [name, pool] : this->pools) pool.role->Release();
  this->pools.clear();
}

absl::Duration PlacementRunner::RunRound() {
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  const std::string self = this->membership.Self().info.name;
  for (const auto& [name, record] : catalog->pools) {
    if (record.kind != PoolKind::kEngine) continue;
    const std::string role = "placement-" + name;
    const bool is_candidate = IsRendezvousOwner(
        role, self, this->membership.ActiveNames(), kRoleCandidates);
    const auto found = this->pools.find(name);
    if (!is_candidate && found == this->pools.end()) continue;
    Pool& pool = this->pools[name];
    if (pool.role == nullptr) {
      pool.role = std::make_unique<RoleLease>(this->kv, role, self,
                                              this->options.lease, this->clock);
      pool.planner =
          std::make_unique<PlacementPlanner>(this->options.plan, this->clock);
    }
    if (!is_candidate) {
      pool.role->Release();
      this->pools.erase(name);
      continue;
    }
    const std::optional<std::int64_t> fence_token = pool.role->AcquireOrRenew();
    if (!fence_token.has_value()) continue;
    if (pool.audited_fence_token != *fence_token) {
      pool.audited_fence_token = *fence_token;
      this->audit.Add("role taken", role, {{"fence", *fence_token}});
    }
    PoolRound round{name, record, pool, *fence_token, {}, {}};
    this->PlanPool(round);
  }
  return this->options.period;
}

bool PlacementRunner::ReadLedgers(PoolRound& round) {
  KvQuery query;
  query.key = LedgerKey(round.name, "");
  query.prefix = true;
  const Result<KvRange> range = this->kv.Range(query);
  if (!range.Ok()) return false;
  for (const KvEntry& entry : range.Value().entries) {
    const Result<TargetLedger> ledger = DecodeLedger(entry.value);
    if (!ledger.Ok()) {
      // Without a readable ledger no order may be sent to this target.
      LogFor(LogPart::kPlacement)
          .error("Ledger {} is unreadable, so its target gets no orders: {}.",
                 entry.key, ledger.Error().ToString());
      continue;
    }
    round.ledgers[ledger.Value().target] =
        StoredLedger{ledger.Value(), entry.mod_revision};
  }
  const Instant now = this->clock.Now();
  for (const TargetStatus& status : this->targets.Status()) {
    if (status.listed.pool != round.name) continue;
    round.statuses[status.listed.name] = status;
    StoredLedger& stored = round.ledgers[status.listed.name];
    if (stored.ledger.target.empty()) {
      stored.ledger.target = status.listed.name;
    }
    stored.ledger.capacity = round.record.memory_bytes;
  }
  for (const auto& [target, stored] : round.ledgers) {
    auto& [orders, since] = round.pool.observed_orders[target];
    const bool is_new = since == Instant() || orders != stored.ledger.orders;
    if (!is_new) continue;
    orders = stored.ledger.orders;
    since = now;
  }
  return true;
}

bool PlacementRunner::IsReportAfterOrders(const PoolRound& round,
                                          const TargetStatus& status,
                                          absl::Duration settle_time) const {
  if (status.report_age > this->options.max_report_age) return false;
  const Instant report_time = this->clock.Now() - status.report_age;
  const auto observed = round.pool.observed_orders.find(status.listed.name);
  return observed != round.pool.observed_orders.end() &&
         report_time > observed->second.second + settle_time;
}

// Failure: an engine has resident models that are not in its ledger, because
// the engine started before the ledger was created or someone loaded them
// manually. Loads planned from the incomplete ledger would then overcommit its
// memory. Each reported model is therefore added to the ledger with the size
// from its record. A model without a record is counted as using all free
// memory, so nothing is loaded at that target until the model is unloaded.
void PlacementRunner::RecordUnorderedCopies(
    TargetLedger& ledger, const std::set<std::string>& resident) const {
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  for (const std::string& name : resident) {
    const ModelRecord* model = FindRecord(catalog->models, name);
    const AdapterRecord* adapter = FindRecord(catalog->adapters, name);
    CopySpec spec;
    spec.name = name;
    if (model != nullptr) {
      spec.version = model->version;
      spec.bytes = model->bytes;
    } else if (adapter != nullptr) {
      spec.base = adapter->model;
      spec.bytes = adapter->bytes;
    } else {
      spec.bytes =
          std::max<std::int64_t>(0, ledger.capacity - ReservedBytes(ledger));
    }
    AddUnorderedCopy(ledger, spec);
  }
}

void PlacementRunner::ApplyReports(PoolRound& round) {
  for (auto& [target, stored] : round.ledgers) {
    const auto found = round.statuses.find(target);
    if (found == round.statuses.end()) continue;
    const TargetStatus& status = found->second;
    const bool is_after_orders =
        this->IsReportAfterOrders(round, status, absl::ZeroDuration());
    const TargetLedger before = stored.ledger;
    ApplyResidencyReport(stored.ledger, status.boot_id, status.resident,
                         is_after_orders);
    if (is_after_orders)
      this->RecordUnorderedCopies(stored.ledger, status.resident);
    const bool is_first = is_after_orders && stored.mod_revision == 0;
    if (!is_first && stored.ledger == before) continue;
    if (!this->WriteLedger(round, stored, {})) {
      stored.ledger = before;
    }
  }
}

// Fetches the demand with one call to every instance. It is not done in every
// round because demand is an average over several seconds.
void PlacementRunner::RefreshDemand() {
  const Instant now = this->clock.Now();
  if (now - this->demand_read_at < kDemandRefreshPeriod) return;
  this->demand_read_at = now;
  this->fleet_demand = this->demand.Rates();
  const std::string self = this->membership.Self().info.name;
  for (const MemberStatus& member : this->membership.All()) {
    const bool is_self = member.info.name == self;
    if (is_self || member.state != MemberState::kAlive) continue;
    const Result<wire::DemandReport> report =
        this->peers.FetchDemand(PeerEndpoint(member));
    if (!report.Ok()) continue;
    for (const auto& [model, rate] : report.Value().rates) {
      this->fleet_demand[model] += rate;
    }
  }
}

PlannerInput PlacementRunner::InputFor(const PoolRound& round) const {
  PlannerInput input;
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  for (const auto& [name, model] : catalog->models) {
    if (model.pool != round.name) continue;
    const PlacementRecord* requested = FindRecord(catalog->placements, name);
    input.models.push_back(
        PlannerModel{name, model.version, model.bytes,
                     requested == nullptr ? 1 : requested->copies});
  }
  for (const auto& [name, adapter] : catalog->adapters) {
    const ModelRecord* base = FindRecord(catalog->models, adapter.model);
    if (base == nullptr || base->pool != round.name) continue;
    input.adapters.push_back(
        PlannerAdapter{name, adapter.model, adapter.bytes});
  }
  for (const auto& [target, stored] : round.ledgers) {
    PlannerTarget planned;
    planned.ledger = stored.ledger;
    const auto status = round.statuses.find(target);
    // A target's memory usage is unknown until its first report has been
    // written to the ledger.
    planned.usable = stored.mod_revision != 0 &&
                     status != round.statuses.end() &&
                     !status->second.leaving && !status->second.ejected &&
                     status->second.report_age <= this->options.max_report_age;
    if (planned.usable &&
        this->IsReportAfterOrders(round, status->second,
                                  this->options.settle_time)) {
      planned.resident = status->second.resident;
    }
    input.targets.push_back(std::move(planned));
  }
  input.demand = this->fleet_demand;
  input.open_model_loads = this->open_model_loads;
  input.open_adapter_loads = this->open_adapter_loads;
  return input;
}

void PlacementRunner::PlanPool(PoolRound& round) {
  if (!this->ReadLedgers(round)) return;
  this->ApplyReports(round);
  this->RefreshDemand();
  const std::vector<PlanStep> steps =
      round.pool.planner->Plan(this->InputFor(round));
  this->CorrectRoles(round);
  for (const PlanStep& step : steps) {
    if (!round.pool.role->IsHeld()) return;
    std::visit([&](const auto& known) { this->Execute(round, known); }, step);
  }
}

// Sends a role order to each engine whose reported role differs from that of
// its pool. The order is repeated if a report made after the settle time still
// shows the old role, for example because the order was lost.
void PlacementRunner::CorrectRoles(PoolRound& round) {
  if (round.record.role.empty()) return;
  for (auto& [target, stored] : round.ledgers) {
    const auto status = round.statuses.find(target);
    if (status == round.statuses.end() || stored.mod_revision == 0) continue;
    const std::string& role = status->second.role;
    if (role.empty() || role == round.record.role) continue;
    const bool has_settled = this->IsReportAfterOrders(
        round, status->second, this->options.settle_time);
    if (has_settled && round.pool.role->IsHeld()) {
      this->CorrectRole(round, stored, status->second);
    }
  }
}

void PlacementRunner::CorrectRole(PoolRound& round, StoredLedger& stored,
                                  const TargetStatus& status) {
  StoredLedger changed = stored;
  const Result<std::string> id =
      BeginRoleChange(changed.ledger, round.fence_token);
  if (!id.Ok() || !this->WriteLedger(round, changed, {})) return;
  stored = changed;
  this->audit.Add("placement role", status.listed.name,
                  {{"role", round.record.role}});
  this->Send(MakeOrder(round, status.listed, OrderKind::kSetRole, id.Value(),
                       round.record.role));
}

bool PlacementRunner::WriteLedger(
    const PoolRound& round, StoredLedger& stored,
    const std::vector<KvCondition>& extra_conditions) {
  const std::string key = LedgerKey(round.name, stored.ledger.target);
  std::vector<KvCondition> conditions = {KvCondition{key, stored.mod_revision}};
  conditions.insert(conditions.end(), extra_conditions.begin(),
                    extra_conditions.end());
  const Result<KvTxnResult> response = this->kv.Txn(
      conditions, {KvWrite{key, EncodeLedger(stored.ledger), 0, false}});
  // If the response was lost, the update may have been stored although its
  // order is not sent. The next round reads the ledger and repeats the order.
  if (!response.Ok() || !response.Value().succeeded) return false;
  stored.mod_revision = response.Value().revision;
  round.pool.observed_orders[stored.ledger.target] = {stored.ledger.orders,
                                                      this->clock.Now()};
  return true;
}

PlacementRunner::Order PlacementRunner::MakeOrder(const PoolRound& round,
                                                  const ListedTarget& target,
                                                  OrderKind kind,
                                                  std::string_view id,
                                                  std::string_view name) {
  Order order;
  order.pool = round.name;
  order.target = target;
  order.fenced = round.record.fenced;
  order.order.kind = kind;
  order.order.id = std::string(id);
  order.order.fence_token = round.fence_token;
  order.order.name = std::string(name);
  return order;
}

void PlacementRunner::SendLoad(PoolRound& round, const StoredLedger& stored,
                               const CopySpec& spec) {
  const bool is_adapter = !spec.base.empty();
  Order order =
      MakeOrder(round, round.statuses.at(stored.ledger.target).listed,
                is_adapter ? OrderKind::kLoadAdapter : OrderKind::kLoadModel,
                FindCopy(stored.ledger, spec.name)->order_id, spec.name);
  order.is_load = true;
  order.is_adapter = is_adapter;
  order.order.version = spec.version;
  order.order.bytes = spec.bytes;
  this->Send(std::move(order));
}

void PlacementRunner::Execute(PoolRound& round, const PlanLoad& step) {
  StoredLedger stored = round.ledgers.at(step.target);
  if (!BeginLoad(stored.ledger, step.spec, round.fence_token).Ok()) return;
  if (!this->WriteLedger(round, stored, {})) return;
  round.ledgers[step.target] = stored;
  this->audit.Add("placement load", step.target,
                  {{"name", step.spec.name}, {"bytes", step.spec.bytes}});
  this->SendLoad(round, stored, step.spec);
}

void PlacementRunner::Execute(PoolRound& round, const PlanReload& step) {
  StoredLedger stored = round.ledgers.at(step.target);
  if (!RepeatLoad(stored.ledger, step.spec.name, round.fence_token).Ok())
    return;
  if (!this->WriteLedger(round, stored, {})) return;
  round.ledgers[step.target] = stored;
  this->audit.Add("placement reload", step.target, {{"name", step.spec.name}});
  this->SendLoad(round, stored, step.spec);
}

// Failure: two planners, one of them resumed after its process was paused, each
// unload one of a model's two copies because each relies on the other copy
// remaining. No copy would be left. The transaction therefore also compares the
// ledger of the target that retains its copy, so the second unload fails.
void PlacementRunner::Execute(PoolRound& round, const PlanUnload& step) {
  StoredLedger stored = round.ledgers.at(step.target);
  const LedgerCopy* copy = FindCopy(stored.ledger, step.name);
  if (copy == nullptr) return;
  const bool is_adapter = !copy->base.empty();
  if (!BeginUnload(stored.ledger, step.name, round.fence_token).Ok()) return;
  std::vector<KvCondition> extra_conditions;
  if (!step.retained_copy_target.empty()) {
    extra_conditions.push_back(
        KvCondition{LedgerKey(round.name, step.retained_copy_target),
                    round.ledgers.at(step.retained_copy_target).mod_revision});
  }
  if (!this->WriteLedger(round, stored, extra_conditions)) return;
  round.ledgers[step.target] = stored;
  this->audit.Add("placement unload", step.target, {{"name", step.name}});
  const auto status = round.statuses.find(step.target);
  if (status == round.statuses.end()) return;
  this->Send(MakeOrder(
      round, status->second.listed,
      is_adapter ? OrderKind::kUnloadAdapter : OrderKind::kUnloadModel,
      FindCopy(stored.ledger, step.name)->order_id, step.name));
}

void PlacementRunner::Send(Order order) {
  std::atomic<int>& open_loads =
      order.is_adapter ? this->open_adapter_loads : this->open_model_loads;
  if (order.is_load) ++open_loads;
  this->orders.Run([this, &open_loads, order = std::move(order)] {
    const EngineClient engine(Endpoint{order.target.address, order.target.port},
                              order.target.name, this->call_options);
    const Result<OrderResult> response = engine.SendOrder(order.order);
    if (order.is_load) --open_loads;
    if (response.Ok()) {
      this->RecordOutcome(order, response.Value());
      return;
    }
    LogFor(LogPart::kPlacement).warn("{}.", response.Error().ToString());
    if (response.Error().code != Errc::kConnectFailed) return;
    // The order was not delivered, so it counts as not executed. The result
    // names no boot because no target responded.
    this->RecordOutcome(order, OrderResult{});
  });
}

void PlacementRunner::RecordOutcome(const Order& order,
                                    const OrderResult& response) {
  if (!response.explanation.empty()) {
    LogFor(LogPart::kPlacement)
        .warn("Target {} refused the order for {}: {}.", order.target.name,
              order.order.name, response.explanation);
  }
  const std::string key = LedgerKey(order.pool, order.target.name);
  const OrderOutcome outcome{order.order.id, order.order.name,
                             order.order.fence_token, response.done,
                             response.boot_id};
  absl::Duration retry_delay = kInitialLedgerRetryDelay;
  for (int attempt = 0; attempt < kLedgerUpdateAttempts; ++attempt) {
    if (this->worker.Stopping()) return;
    KvQuery query;
    query.key = key;
    const Result<KvRange> range = this->kv.Range(query);
    if (range.Ok() && !range.Value().entries.empty()) {
      const KvEntry& entry = range.Value().entries.front();
      const Result<TargetLedger> decoded = DecodeLedger(entry.value);
      if (!decoded.Ok()) return;
      TargetLedger ledger = decoded.Value();
      if (order.is_load) {
        FinishLoad(ledger, outcome, order.fenced);
      } else {
        FinishUnload(ledger, outcome, order.fenced);
      }
      const Result<KvTxnResult> stored =
          this->kv.Txn({KvCondition{key, entry.mod_revision}},
                       {KvWrite{key, EncodeLedger(ledger), 0, false}});
      if (stored.Ok() && stored.Value().succeeded) return;
    }
    absl::SleepFor(retry_delay);
    retry_delay = std::min(2 * retry_delay, kMaxLedgerRetryDelay);
  }
}

}  // namespace dragonflyglade
