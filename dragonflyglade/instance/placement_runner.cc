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

constexpr int kSettleAttempts = 40;
constexpr absl::Duration kSettlePause = absl::Milliseconds(100);
constexpr absl::Duration kLongestSettlePause = absl::Seconds(2);
constexpr absl::Duration kDemandEvery = absl::Seconds(5);
// How many instances try to hold one pool's role.
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
      worker([this] { return this->Round(); }) {}

PlacementRunner::~PlacementRunner() { this->Stop(); }

void PlacementRunner::Start() { this->worker.Start(); }

void PlacementRunner::Stop() {
  this->worker.Stop();
  for (auto& [name, pool] : this->pools) pool.role->Release();
  this->pools.clear();
}

absl::Duration PlacementRunner::Round() {
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
    const std::optional<std::int64_t> fence = pool.role->AcquireOrRenew();
    if (!fence.has_value()) continue;
    if (pool.noted_fence != *fence) {
      pool.noted_fence = *fence;
      this->audit.Add("role taken", role, {{"fence", *fence}});
    }
    PoolRound round{name, record, pool, *fence, {}, {}};
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
      // Without the ledger nothing may be ordered at this target.
      LogFor(LogPart::kPlacement)
          .error("{}: {}.", entry.key, ledger.Error().ToString());
      continue;
    }
    round.ledgers[ledger.Value().target] =
        Stored{ledger.Value(), entry.mod_revision};
  }
  const Instant now = this->clock.Now();
  for (const TargetStatus& status : this->targets.Status()) {
    if (status.listed.pool != round.name) continue;
    round.statuses[status.listed.name] = status;
    Stored& stored = round.ledgers[status.listed.name];
    if (stored.ledger.target.empty()) {
      stored.ledger.target = status.listed.name;
    }
    stored.ledger.capacity = round.record.memory_bytes;
  }
  for (const auto& [target, stored] : round.ledgers) {
    auto& [orders, since] = round.pool.orders_seen[target];
    const bool is_new = since == Instant() || orders != stored.ledger.orders;
    if (!is_new) continue;
    orders = stored.ledger.orders;
    since = now;
  }
  return true;
}

bool PlacementRunner::ReportIsAfter(const PoolRound& round,
                                    const TargetStatus& status,
                                    absl::Duration settle) const {
  if (status.report_age > this->options.report_limit) return false;
  const Instant made_at = this->clock.Now() - status.report_age;
  const auto seen = round.pool.orders_seen.find(status.listed.name);
  return seen != round.pool.orders_seen.end() &&
         made_at > seen->second.second + settle;
}

// Failure: an engine has models in memory that no ledger knows, because it is
// older than the ledger or somebody loaded them by hand. Loads planned on an
// empty ledger then overcommit its memory. What a report shows is booked with
// its record's size; a name without a record takes all that is free, so
// nothing is loaded there until it is gone.
void PlacementRunner::BookUnordered(
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

void PlacementRunner::TakeReports(PoolRound& round) {
  for (auto& [target, stored] : round.ledgers) {
    const auto found = round.statuses.find(target);
    if (found == round.statuses.end()) continue;
    const TargetStatus& status = found->second;
    const bool after = this->ReportIsAfter(round, status, absl::ZeroDuration());
    const std::string before = EncodeLedger(stored.ledger);
    ApplyResidencyReport(stored.ledger, status.boot_id, status.resident, after);
    if (after) this->BookUnordered(stored.ledger, status.resident);
    const bool is_first = after && stored.mod_revision == 0;
    if (!is_first && EncodeLedger(stored.ledger) == before) continue;
    if (!this->Store(round, stored, {})) {
      stored.ledger = DecodeLedger(before).Value();
    }
  }
}

// One call to every instance, so not in every round: demand is an average over
// several seconds anyway.
void PlacementRunner::RefreshDemand() {
  const Instant now = this->clock.Now();
  if (now - this->demand_read_at < kDemandEvery) return;
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
    const PlacementRecord* wish = FindRecord(catalog->placements, name);
    input.models.push_back(PlannerModel{name, model.version, model.bytes,
                                        wish == nullptr ? 1 : wish->copies});
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
    // Before its first report was booked, nothing is known of its memory.
    planned.usable = stored.mod_revision != 0 &&
                     status != round.statuses.end() &&
                     !status->second.leaving && !status->second.ejected &&
                     status->second.report_age <= this->options.report_limit;
    if (planned.usable &&
        this->ReportIsAfter(round, status->second, this->options.settle)) {
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
  this->TakeReports(round);
  this->RefreshDemand();
  const std::vector<PlanStep> steps =
      round.pool.planner->Plan(this->InputFor(round));
  this->CorrectRoles(round);
  for (const PlanStep& step : steps) {
    if (!round.pool.role->IsHeld()) return;
    std::visit([&](const auto& known) { this->CarryOut(round, known); }, step);
  }
}

// Engines that report another role than their pool's are told. A lost order is
// repeated once a report made after its settle time still shows the old role.
void PlacementRunner::CorrectRoles(PoolRound& round) {
  if (round.record.role.empty()) return;
  for (auto& [target, stored] : round.ledgers) {
    const auto status = round.statuses.find(target);
    if (status == round.statuses.end() || stored.mod_revision == 0) continue;
    const std::string& role = status->second.role;
    if (role.empty() || role == round.record.role) continue;
    const bool has_settled =
        this->ReportIsAfter(round, status->second, this->options.settle);
    if (has_settled && round.pool.role->IsHeld()) {
      this->CorrectRole(round, stored, status->second);
    }
  }
}

void PlacementRunner::CorrectRole(PoolRound& round, Stored& stored,
                                  const TargetStatus& status) {
  Stored changed = stored;
  const Result<std::string> id = BeginRoleChange(changed.ledger, round.fence);
  if (!id.Ok() || !this->Store(round, changed, {})) return;
  stored = changed;
  this->audit.Add("placement role", status.listed.name,
                  {{"role", round.record.role}});
  this->Send(NewOrder(round, status.listed, OrderKind::kSetRole, id.Value(),
                      round.record.role));
}

bool PlacementRunner::Store(const PoolRound& round, Stored& stored,
                            const std::vector<KvCondition>& also) {
  const std::string key = LedgerKey(round.name, stored.ledger.target);
  std::vector<KvCondition> expects = {KvCondition{key, stored.mod_revision}};
  expects.insert(expects.end(), also.begin(), also.end());
  const Result<KvTxnResult> reply = this->kv.Txn(
      expects, {KvWrite{key, EncodeLedger(stored.ledger), 0, false}});
  // After a lost answer the booking may stand in the service without its
  // order; the next round reads it and repeats the order.
  if (!reply.Ok() || !reply.Value().succeeded) return false;
  stored.mod_revision = reply.Value().revision;
  round.pool.orders_seen[stored.ledger.target] = {stored.ledger.orders,
                                                  this->clock.Now()};
  return true;
}

PlacementRunner::Order PlacementRunner::NewOrder(const PoolRound& round,
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
  order.order.fence_token = round.fence;
  order.order.name = std::string(name);
  return order;
}

void PlacementRunner::SendLoad(PoolRound& round, const Stored& stored,
                               const CopySpec& spec) {
  const bool is_adapter = !spec.base.empty();
  Order order =
      NewOrder(round, round.statuses.at(stored.ledger.target).listed,
               is_adapter ? OrderKind::kLoadAdapter : OrderKind::kLoadModel,
               FindCopy(stored.ledger, spec.name)->order_id, spec.name);
  order.is_load = true;
  order.is_adapter = is_adapter;
  order.order.version = spec.version;
  order.order.bytes = spec.bytes;
  this->Send(std::move(order));
}

void PlacementRunner::CarryOut(PoolRound& round, const PlanLoad& step) {
  Stored stored = round.ledgers.at(step.target);
  if (!BeginLoad(stored.ledger, step.spec, round.fence).Ok()) return;
  if (!this->Store(round, stored, {})) return;
  round.ledgers[step.target] = stored;
  this->audit.Add("placement load", step.target,
                  {{"name", step.spec.name}, {"bytes", step.spec.bytes}});
  this->SendLoad(round, stored, step.spec);
}

void PlacementRunner::CarryOut(PoolRound& round, const PlanReload& step) {
  Stored stored = round.ledgers.at(step.target);
  if (!RepeatLoad(stored.ledger, step.spec.name, round.fence).Ok()) return;
  if (!this->Store(round, stored, {})) return;
  round.ledgers[step.target] = stored;
  this->audit.Add("placement reload", step.target, {{"name", step.spec.name}});
  this->SendLoad(round, stored, step.spec);
}

// Failure: two planners, one of them woken from a pause, each unload one of a
// model's two copies, because each relies on the other copy; the model is
// gone. The ledger with the copy that is relied on is compared in the same
// transaction, so the second of the two fails.
void PlacementRunner::CarryOut(PoolRound& round, const PlanUnload& step) {
  Stored stored = round.ledgers.at(step.target);
  const LedgerCopy* copy = FindCopy(stored.ledger, step.name);
  if (copy == nullptr) return;
  const bool is_adapter = !copy->base.empty();
  if (!BeginUnload(stored.ledger, step.name, round.fence).Ok()) return;
  std::vector<KvCondition> also;
  if (!step.retained_copy_target.empty()) {
    also.push_back(
        KvCondition{LedgerKey(round.name, step.retained_copy_target),
                    round.ledgers.at(step.retained_copy_target).mod_revision});
  }
  if (!this->Store(round, stored, also)) return;
  round.ledgers[step.target] = stored;
  this->audit.Add("placement unload", step.target, {{"name", step.name}});
  const auto status = round.statuses.find(step.target);
  if (status == round.statuses.end()) return;
  this->Send(
      NewOrder(round, status->second.listed,
               is_adapter ? OrderKind::kUnloadAdapter : OrderKind::kUnloadModel,
               FindCopy(stored.ledger, step.name)->order_id, step.name));
}

void PlacementRunner::Send(Order order) {
  std::atomic<int>& open =
      order.is_adapter ? this->open_adapter_loads : this->open_model_loads;
  if (order.is_load) ++open;
  this->orders.Run([this, &open, order = std::move(order)] {
    const EngineClient engine(Endpoint{order.target.address, order.target.port},
                              order.target.name, this->call_options);
    const Result<OrderResult> reply = engine.SendOrder(order.order);
    if (order.is_load) --open;
    if (reply.Ok()) {
      this->Settle(order, reply.Value());
      return;
    }
    LogFor(LogPart::kPlacement).warn("{}.", reply.Error().ToString());
    if (reply.Error().code != Errc::kConnectFailed) return;
    // Nothing arrived, which is as good as a refusal by nobody.
    this->Settle(order, OrderResult{});
  });
}

void PlacementRunner::Settle(const Order& order, const OrderResult& reply) {
  if (!reply.explanation.empty()) {
    LogFor(LogPart::kPlacement)
        .warn("{} refused {}: {}.", order.target.name, order.order.name,
              reply.explanation);
  }
  const std::string key = LedgerKey(order.pool, order.target.name);
  const OrderOutcome outcome{order.order.id, order.order.name,
                             order.order.fence_token, reply.done,
                             reply.boot_id};
  absl::Duration pause = kSettlePause;
  for (int attempt = 0; attempt < kSettleAttempts; ++attempt) {
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
    absl::SleepFor(pause);
    pause = std::min(2 * pause, kLongestSettlePause);
  }
}

}  // namespace dragonflyglade
