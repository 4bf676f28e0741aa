// The part of PlacementController that gives engines their orders, and asks
// them what they hold when an order's outcome is not known.
#include <algorithm>
#include <utility>

#include "dragonflyglade/gateway/catch_exception.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/placement_controller.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

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

std::string PlaceOf(const ResidencyChange& change) {
  return ResidentKey(change.model, change.adapter);
}

}  // namespace

bool PlacementController::Book(const ServiceSpec& service,
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
    if (change.from_store) this->LoadLimiterOf(service).RecordLoadStart();
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

asio::awaitable<ExchangeOutcome> PlacementController::Call(
    TargetState& target, OutgoingHttpRequest call) {
  const std::string address = target.Record().address;
  std::string head = RequestHeadText(call, address);
  TargetExchange exchange(this->context, target.connections, this->wire,
                          this->clock);
  const Instant give_up = this->clock.Now() + kOrderTimeout;
  co_return co_await exchange.Run(address, "", std::move(head), call.body,
                                  give_up);
}

asio::awaitable<std::optional<OrderResponse>> PlacementController::SendOrder(
    const Engine& engine, const ResidencyChange& change) {
  const std::shared_ptr<TargetState> target = this->fleet.Target(engine.id);
  if (target == nullptr) co_return OrderResponse::kWrongTarget;
  EngineOrder order;
  order.load = change.kind == ResidencyChange::Kind::kLoad;
  order.model = change.model;
  order.adapter = change.adapter;
  order.orders_taken = engine.orders_taken;
  order.holder = this->settings.instance;
  order.fence = this->duty.Fence();
  OutgoingHttpRequest call = this->wire.encode_order(engine.id, order);
  const ExchangeOutcome outcome = co_await this->Call(*target, std::move(call));
  this->metrics.Count("orders");
  if (const auto* whole = std::get_if<WholeAnswer>(&outcome)) {
    co_return this->wire.decode_order_response(whole->head.status);
  }
  if (const auto* declined = std::get_if<Declined>(&outcome)) {
    co_return this->wire.decode_order_response(declined->head.status);
  }
  co_return std::nullopt;
}

// However the order ends, the engine takes others after it.
asio::awaitable<void> PlacementController::CarryOut(
    std::shared_ptr<Engine> engine, ResidencyChange change) {
  const std::exception_ptr fault =
      co_await CatchException(this->GiveOrder(*engine, change));
  if (fault) engine->inspect = true;
  engine->unready.erase(PlaceOf(change));
  engine->settled_at = this->clock.Now();
  engine->ordering = false;
  this->TellHoldings();
  this->WantPlan();
  if (fault) std::rethrow_exception(fault);
}

asio::awaitable<void> PlacementController::GiveOrder(
    Engine& engine, const ResidencyChange& change) {
  if (change.kind == ResidencyChange::Kind::kUnload) {
    this->TellHoldings();
    co_await Sleep(this->context, kClosingNews);
  }
  std::optional<OrderResponse> answer;
  for (int attempt = 0; attempt < kOrderTries && !answer.has_value();
       ++attempt) {
    // Checked as late as possible: whoever lost the duty must not send.
    if (!this->duty.MayIssueOrders()) break;
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
  const bool adapter_loads = answer == OrderResponse::kAccepted &&
                             !change.adapter.empty() &&
                             change.kind == ResidencyChange::Kind::kLoad;
  if (adapter_loads) co_await Sleep(this->context, kAdapterLoads);
}

void PlacementController::Settle(Engine& engine, const ResidencyChange& change,
                                 OrderResponse answer) {
  const bool loads = change.kind == ResidencyChange::Kind::kLoad;
  const bool of_adapter = !change.adapter.empty();
  switch (answer) {
    case OrderResponse::kAccepted:
      engine.orders_taken += 1;
      break;
    case OrderResponse::kAlreadyApplied:
      // An adapter that nobody uses is dropped at once, which counts as an
      // order taken.
      if (of_adapter && !loads) engine.orders_taken += 1;
      if (!of_adapter && loads) engine.loading.reset();
      break;
    case OrderResponse::kWrongTarget:
    case OrderResponse::kConflict:
    case OrderResponse::kFenced:
    case OrderResponse::kInvalid:
      engine.inspect = true;
      return;
  }
  if (!of_adapter || loads) return;
  if (answer == OrderResponse::kAccepted) {
    // Requests still use it, and its place is not free until they end.
    engine.inspect = true;
    return;
  }
  engine.models[change.model].erase(change.adapter);
}

asio::awaitable<void> PlacementController::Inspect(
    std::shared_ptr<Engine> engine) {
  const std::exception_ptr fault =
      co_await CatchException(this->AskForReport(*engine));
  engine->settled_at = this->clock.Now();
  engine->ordering = false;
  this->TellHoldings();
  if (fault) std::rethrow_exception(fault);
}

asio::awaitable<void> PlacementController::AskForReport(Engine& engine) {
  // A report tells of a moment ago: asked too early, it would not yet show
  // the last order.
  const absl::Duration since = this->clock.Now() - engine.settled_at;
  if (since < kReportLag) co_await Sleep(this->context, kReportLag - since);
  const std::shared_ptr<TargetState> target = this->fleet.Target(engine.id);
  if (target == nullptr || !this->duty.MayIssueOrders()) co_return;
  OutgoingHttpRequest call = this->wire.encode_report_call(engine.id);
  const ExchangeOutcome outcome = co_await this->Call(*target, std::move(call));
  this->metrics.Count("engine_reports");
  const auto* whole = std::get_if<WholeAnswer>(&outcome);
  const bool known = whole != nullptr && this->TakeReport(engine, whole->body);
  this->log.Write("placement", "inspected",
                  {{"target", engine.id},
                   {"orders_taken", engine.orders_taken},
                   {"known", known}});
}

bool PlacementController::TakeReport(Engine& engine, std::string_view body) {
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
