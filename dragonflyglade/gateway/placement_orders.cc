// The part of PlacementController that sends orders to engines and reads their
// residency when the outcome of an order is unknown.
#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <utility>

#include "dragonflyglade/gateway/catch_exception.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/placement_controller.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// An engine responds to an order within milliseconds.
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(400);
// An order without a response may be executed late. A retry with the same
// expected order count makes the late one void.
constexpr int kOrderAttempts = 3;
constexpr absl::Duration kOrderRetryDelay = absl::Milliseconds(50);
// An adapter is resident some ten milliseconds after its order was accepted.
constexpr absl::Duration kAdapterLoadTime = absl::Milliseconds(15);
// Before a model is unloaded, instances are notified to send no more requests
// for it. The notice takes one message to reach them.
constexpr absl::Duration kUnloadNoticeDelay = absl::Milliseconds(60);
// Engine reports show the state of some hundred milliseconds ago.
constexpr absl::Duration kReportLag = absl::Milliseconds(600);
// The pause doubles with each inspection in a row that fails, up to this.
constexpr absl::Duration kMaxInspectionPause = absl::Seconds(2);
// An engine is inspected when a load has not ended after this many times its
// usual time: loads slow down in proportion to the number that run at once.
constexpr int kLoadTimeoutFactor = 4;

// A report lists some models, and the adapters that an engine holds. A leader
// may read the reports of all engines at once.
constexpr std::size_t kMaxReportBytes = 256u << 10;

std::string ResidentKeyOf(const ResidencyChange& change) {
  return ResidentKey(change.model, change.adapter);
}

}  // namespace

bool PlacementController::ScheduleOrder(const ServiceSpec& service,
                                        const ResidencyChange& change) {
  const auto found = this->engines.find(change.target);
  if (found == this->engines.end() || found->second->is_busy) return false;
  Engine& engine = *found->second;
  // An order of an earlier leader may have changed it. The next round plans
  // with what the inspection finds.
  if (engine.needs_inspection) {
    engine.has_planned_order = true;
    this->BeginInspection(found->second);
    return false;
  }
  engine.is_busy = true;
  const bool is_load = change.kind == ResidencyChange::Kind::kLoad;
  if (is_load && change.adapter.empty()) {
    engine.models[change.model];
    engine.loading = change.model;
    engine.loading_since = this->clock.Now();
    // Failure: an old record arrives after the order and lists weights that the
    // load has evicted. Loads from the weight store would be taken for others
    // and not be limited. The report, or a record that shows the load, is
    // newer.
    engine.cached.reset();
    const std::shared_ptr<TargetState> target = this->fleet.Target(engine.id);
    engine.listed_before_load =
        target != nullptr && target->HoldsModel(change.model);
    const auto& served = service.engine->models;
    const auto model = std::find_if(
        served.begin(), served.end(),
        [&](const ServedModel& item) { return item.name == change.model; });
    engine.loading_deadline =
        this->clock.Now() + kLoadTimeoutFactor * model->load_time;
    if (change.uses_store) {
      this->LoadLimiterOf(service).RecordOrdering(NextOrderKey(engine));
    }
  } else if (is_load) {
    engine.models[change.model].insert(change.adapter);
    engine.changing_adapters.insert(ResidentKeyOf(change));
  } else if (change.adapter.empty()) {
    engine.unloading.insert(change.model);
  } else {
    engine.changing_adapters.insert(ResidentKeyOf(change));
  }
  this->tasks.Spawn("carry out order",
                    this->ExecuteOrder(found->second, change));
  return true;
}

asio::awaitable<ExchangeOutcome> PlacementController::CallEngine(
    TargetState& target, OutgoingHttpRequest call) {
  const std::string address = target.Record().address;
  std::string head = RequestHeadText(call, address, call.body.size());
  TargetExchange exchange(this->context, target.connections, this->wire,
                          this->clock);
  const Instant deadline = this->clock.Now() + kOrderTimeout;
  exchange.SetBodyLimit(kMaxReportBytes);
  // Orders take no tunnel: to the engine, each instance is another holder.
  this->paths.Use(DirectPath{}, target, exchange);
  const auto body = std::make_shared<const std::string>(std::move(call.body));
  co_return co_await exchange.Run(address, "", std::move(head), body, deadline);
}

EngineOrderKey PlacementController::NextOrderKey(const Engine& engine) {
  return {engine.id, engine.born_ms, engine.orders_taken};
}

asio::awaitable<PlacementController::OrderAttempt>
PlacementController::SendOrder(const Engine& engine,
                               const ResidencyChange& change) {
  const std::shared_ptr<TargetState> target = this->fleet.Target(engine.id);
  if (target == nullptr) co_return OrderAttempt{OrderResponse::kWrongTarget};
  EngineOrder order;
  order.load = change.kind == ResidencyChange::Kind::kLoad;
  order.model = change.model;
  order.adapter = change.adapter;
  order.orders_taken = engine.orders_taken;
  order.holder = this->settings.instance;
  order.fence = this->leader_lease.FencingToken();
  OutgoingHttpRequest call = this->wire.encode_order(engine.id, order);
  const ExchangeOutcome outcome =
      co_await this->CallEngine(*target, std::move(call));
  this->metrics.Count("orders");
  if (std::holds_alternative<NotSent>(outcome)) co_return OrderAttempt{};
  if (const auto* declined = std::get_if<Declined>(&outcome)) {
    co_return OrderAttempt{
        this->wire.decode_order_response(declined->head.status)};
  }
  OrderAttempt attempt;
  if (const auto* whole = std::get_if<CompleteResponse>(&outcome)) {
    attempt.response = this->wire.decode_order_response(whole->head.status);
  }
  attempt.may_be_late = !attempt.response.has_value();
  co_return attempt;
}

asio::awaitable<PlacementController::OrderResult>
PlacementController::SendUntilAnswered(const Engine& engine,
                                       const ResidencyChange& change) {
  OrderResult result;
  while (result.attempts < kOrderAttempts && !result.response.has_value()) {
    // Checked immediately before sending: an instance that is no longer leader
    // must not send orders.
    if (!this->leader_lease.MayIssueOrders()) break;
    result.attempts += 1;
    const OrderAttempt attempt = co_await this->SendOrder(engine, change);
    result.response = attempt.response;
    result.may_be_late = result.may_be_late || attempt.may_be_late;
    if (!result.response.has_value()) {
      co_await Sleep(this->context, kOrderRetryDelay);
    }
  }
  co_return result;
}

// An accepted order makes all others with its key void. Any other response is
// only about the attempt that it answers.
void PlacementController::CountOrderResult(std::string_view service,
                                           const EngineOrderKey& order,
                                           const ResidencyChange& change,
                                           const OrderResult& result) {
  const auto found = this->load_limiters.find(service);
  if (found == this->load_limiters.end()) return;
  ModelLoadLimiter& limiter = found->second;
  if (result.response == OrderResponse::kAccepted) {
    if (change.uses_store) {
      limiter.RecordBegun(order);
    } else {
      limiter.RecordVoid(order);
    }
    return;
  }
  if (!change.uses_store) return;
  if (result.may_be_late) {
    limiter.RecordUnanswered(order);
  } else {
    limiter.RecordNotBegun(order);
  }
}

// Clears the engine's ordering state on every outcome, including exceptions, so
// that the engine gets further orders.
asio::awaitable<void> PlacementController::ExecuteOrder(
    std::shared_ptr<Engine> engine, ResidencyChange change) {
  const EngineOrderKey order = NextOrderKey(*engine);
  const std::exception_ptr exception =
      co_await CatchException(this->DeliverOrder(*engine, change));
  if (exception) {
    engine->needs_inspection = true;
    OrderResult unknown;
    unknown.may_be_late = true;
    this->CountOrderResult(engine->service, order, change, unknown);
  }
  engine->changing_adapters.erase(ResidentKeyOf(change));
  engine->last_order_ended_at = this->clock.Now();
  engine->is_busy = false;
  this->PublishHoldings(*engine);
  this->RequestPlan();
  if (exception) std::rethrow_exception(exception);
}

asio::awaitable<void> PlacementController::DeliverOrder(
    Engine& engine, const ResidencyChange& change) {
  const Instant planned_at = this->clock.Now();
  if (change.kind == ResidencyChange::Kind::kUnload) {
    this->PublishHoldings(engine);
    co_await Sleep(this->context, kUnloadNoticeDelay);
  }
  const OrderResult result = co_await this->SendUntilAnswered(engine, change);
  const std::optional<OrderResponse> response = result.response;
  this->CountOrderResult(engine.service, NextOrderKey(engine), change, result);
  this->log.Write(
      "placement", "order",
      {{"target", engine.id},
       {"load", change.kind == ResidencyChange::Kind::kLoad},
       {"model", ResidentKeyOf(change)},
       {"from_store", change.uses_store},
       {"expected", engine.orders_taken},
       {"fence", this->leader_lease.FencingToken()},
       {"attempts", result.attempts},
       {"since_planned_ms",
        absl::ToInt64Milliseconds(this->clock.Now() - planned_at)},
       {"answer", response.has_value() ? static_cast<int>(*response) : -1}});
  if (response.has_value()) {
    this->ApplyOrderResponse(engine, change, *response);
  } else {
    engine.needs_inspection = true;
    engine.unanswered = UnansweredOrder{ResidentKeyOf(change), planned_at};
  }
  const bool adapter_load_accepted =
      response == OrderResponse::kAccepted && !change.adapter.empty() &&
      change.kind == ResidencyChange::Kind::kLoad;
  if (adapter_load_accepted) co_await Sleep(this->context, kAdapterLoadTime);
}

void PlacementController::ApplyOrderResponse(Engine& engine,
                                             const ResidencyChange& change,
                                             OrderResponse response) {
  const bool is_load = change.kind == ResidencyChange::Kind::kLoad;
  const bool is_adapter = !change.adapter.empty();
  switch (response) {
    case OrderResponse::kAccepted:
      engine.orders_taken += 1;
      break;
    case OrderResponse::kAlreadyApplied:
      // An engine unloads an unused adapter immediately, which counts as an
      // accepted order.
      if (is_adapter && !is_load) engine.orders_taken += 1;
      if (!is_adapter && is_load) engine.loading.reset();
      break;
    case OrderResponse::kWrongTarget:
    case OrderResponse::kConflict:
    case OrderResponse::kFenced:
    case OrderResponse::kInvalid:
      engine.needs_inspection = true;
      return;
  }
  if (!is_adapter || is_load) return;
  if (response == OrderResponse::kAccepted) {
    // Requests still use the adapter; its memory is released when they end.
    engine.needs_inspection = true;
    return;
  }
  engine.models[change.model].erase(change.adapter);
}

asio::awaitable<void> PlacementController::InspectEngine(
    std::shared_ptr<Engine> engine) {
  const std::exception_ptr exception =
      co_await CatchException(this->FetchEngineReport(*engine));
  engine->last_order_ended_at = this->clock.Now();
  engine->is_busy = false;
  this->PublishHoldings(*engine);
  // An engine that does not answer is inspected again at the planner's pace.
  if (engine->has_planned_order && !engine->needs_inspection) {
    this->RequestPlan();
  }
  engine->has_planned_order = false;
  if (exception) std::rethrow_exception(exception);
}

asio::awaitable<void> PlacementController::FetchEngineReport(Engine& engine) {
  // Reports lag behind: one that is read too early does not show the effect of
  // the last order.
  const absl::Duration since = this->clock.Now() - engine.last_order_ended_at;
  const absl::Duration pause = std::min(
      std::exp2(engine.failed_inspections) * kReportLag, kMaxInspectionPause);
  if (since < pause) co_await Sleep(this->context, pause - since);
  const std::shared_ptr<TargetState> target = this->fleet.Target(engine.id);
  if (target == nullptr || !this->leader_lease.MayIssueOrders()) co_return;
  OutgoingHttpRequest call = this->wire.encode_report_call(engine.id);
  const ExchangeOutcome outcome =
      co_await this->CallEngine(*target, std::move(call));
  this->metrics.Count("engine_reports");
  engine.failed_inspections += 1;
  const auto* whole = std::get_if<CompleteResponse>(&outcome);
  const bool is_known =
      whole != nullptr && this->ApplyEngineReport(engine, whole->body);
  this->log.Write("placement", "inspected",
                  {{"target", engine.id},
                   {"orders_taken", engine.orders_taken},
                   {"known", is_known}});
}

void PlacementController::LogUnansweredOrder(Engine& engine,
                                             const EngineReport& report) {
  if (!engine.unanswered.has_value()) return;
  const absl::Duration age = this->clock.Now() - engine.unanswered->planned_at;
  this->log.Write("placement", "unanswered order",
                  {{"target", engine.id},
                   {"model", engine.unanswered->resident_key},
                   {"taken", report.orders_taken > engine.orders_taken},
                   {"since_planned_ms", absl::ToInt64Milliseconds(age)}});
  engine.unanswered.reset();
}

bool PlacementController::ApplyEngineReport(Engine& engine,
                                            std::string_view body) {
  const Result<EngineReport> decoded = this->wire.decode_report(body);
  if (!decoded.Ok()) return false;
  engine.failed_inspections = 0;
  if (decoded.Value().busy) return false;
  const EngineReport& report = decoded.Value();
  this->LogUnansweredOrder(engine, report);
  const auto limiter = this->load_limiters.find(engine.service);
  if (limiter != this->load_limiters.end()) {
    limiter->second.RecordOrdersTaken(engine.id, engine.born_ms,
                                      report.orders_taken);
  }
  engine.needs_inspection = false;
  if (report.orders_taken >= engine.orders_taken) engine.cached = report.cached;
  engine.orders_taken = report.orders_taken;
  engine.models.clear();
  engine.unloading.clear();
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
