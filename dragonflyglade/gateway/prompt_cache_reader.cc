#include "dragonflyglade/gateway/prompt_cache_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/catch_exception.h"
#include "dragonflyglade/gateway/http_text.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// One goes on when the other ends.
constexpr std::size_t kReadersPerEngine = 2;
// How soon a reader begins or ends after the list of instances has changed.
constexpr absl::Duration kReviewInterval = absl::Milliseconds(500);
// The longest wait that engines allow.
constexpr absl::Duration kWait = absl::Seconds(1);
// Beyond the wait, an engine answers within milliseconds.
constexpr absl::Duration kAnswerTime = absl::Milliseconds(500);
// Of a list, which is longer than any answer with events. An instance follows
// several engines.
constexpr std::size_t kMaxAnswerBytes = 2u << 20;
constexpr int kStatusOk = 200;
constexpr int kTooManyRequests = 429;

std::string_view NameOf(PromptCacheCallOutcome outcome) {
  if (outcome == PromptCacheCallOutcome::kAnswered) return "answered";
  return outcome == PromptCacheCallOutcome::kRefused ? "refused" : "failed";
}

}  // namespace

PromptCacheReader::PromptCacheReader(asio::io_context& context,
                                     const GatewaySettings& settings,
                                     const WireFormat& wire, FleetState& fleet,
                                     PromptCaches& caches, TargetPaths& paths,
                                     Metrics& metrics, Tasks& tasks,
                                     Clock clock,
                                     std::function<absl::Time()> wall_clock)
    : context(context),
      settings(settings),
      wire(wire),
      fleet(fleet),
      caches(caches),
      paths(paths),
      metrics(metrics),
      tasks(tasks),
      clock(std::move(clock)),
      wall_clock(std::move(wall_clock)) {}

asio::awaitable<void> PromptCacheReader::Run() {
  while (true) {
    co_await Sleep(this->context, kReviewInterval);
    if (!this->settings.prompt_cache_events) continue;
    this->RefreshListed();
    std::vector<std::string> begun;
    this->fleet.ForEachTarget([&](const TargetState& target) {
      const TargetRecord& record = target.Record();
      if (!this->Owns(record)) return;
      if (this->followed.insert(record.id).second) begun.push_back(record.id);
    });
    for (std::string& engine : begun) {
      this->tasks.Spawn("read prompt cache", this->Follow(std::move(engine)));
    }
  }
}

asio::awaitable<void> PromptCacheReader::Follow(std::string engine) {
  const std::exception_ptr exception =
      co_await CatchException(this->FollowWhileOwned(engine));
  this->followed.erase(engine);
  if (exception) std::rethrow_exception(exception);
}

asio::awaitable<void> PromptCacheReader::FollowWhileOwned(std::string engine) {
  PromptCacheFollower follower;
  while (this->settings.prompt_cache_events) {
    const std::shared_ptr<TargetState> target = this->fleet.Target(engine);
    if (target == nullptr || !this->Owns(target->Record())) co_return;
    const Instant start = this->clock.Now();
    const PromptCacheCallOutcome outcome =
        co_await this->Call(*target, follower);
    this->metrics.Count("prompt_cache_calls",
                        fmt::format("result=\"{}\"", NameOf(outcome)));
    const Instant end = this->clock.Now();
    const Instant next = NextPromptCacheCall(outcome, start, end);
    if (next > end) co_await Sleep(this->context, next - end);
  }
}

// An engine is asked over the own path only: a tunnel would take a place that
// requests need.
asio::awaitable<PromptCacheCallOutcome> PromptCacheReader::Call(
    TargetState& engine, PromptCacheFollower& follower) {
  if (this->paths.IsIsolated(engine.Record().service) ||
      this->paths.UntilRested(engine) > absl::ZeroDuration()) {
    co_return PromptCacheCallOutcome::kFailed;
  }
  const TargetRecord record = engine.Record();
  const bool is_list = follower.WantsList() && this->MayList();
  OutgoingHttpRequest call = is_list
                                 ? this->wire.encode_cache_list_call(record.id)
                                 : this->wire.encode_cache_events_call(
                                       record.id, follower.Next(), kWait);
  std::string head = RequestHeadText(call, record.address, 0);
  TargetExchange exchange(this->context, engine.connections, this->wire,
                          this->clock);
  exchange.SetBodyLimit(kMaxAnswerBytes);
  this->paths.Use(DirectPath{}, engine, exchange);
  const ExchangeOutcome outcome =
      co_await exchange.Run(record.address, "", std::move(head), nullptr,
                            this->clock.Now() + kWait + kAnswerTime);
  co_return this->Evaluate(outcome, is_list, record, follower);
}

PromptCacheCallOutcome PromptCacheReader::Evaluate(
    const ExchangeOutcome& outcome, bool is_list, const TargetRecord& engine,
    PromptCacheFollower& follower) {
  const auto* declined = std::get_if<Declined>(&outcome);
  const auto* response = std::get_if<CompleteResponse>(&outcome);
  int status = 0;
  if (declined != nullptr) status = declined->head.status;
  if (response != nullptr) status = response->head.status;
  if (status == kTooManyRequests) return PromptCacheCallOutcome::kRefused;
  if (response == nullptr || status != kStatusOk) {
    return PromptCacheCallOutcome::kFailed;
  }
  const Result<PromptCacheEvents> events =
      is_list ? this->wire.decode_cache_list(response->body)
              : this->wire.decode_cache_events(response->body);
  if (!events.Ok()) return PromptCacheCallOutcome::kFailed;
  const PromptCacheFollower::Applied applied =
      this->caches.Apply(events.Value(), engine, follower);
  this->metrics.Count("prompt_cache_events", "result=\"read\"",
                      static_cast<double>(applied.parts.size()));
  this->metrics.Count("prompt_cache_events", "result=\"ignored\"",
                      applied.ignored);
  if (applied.gap) this->metrics.Count("prompt_cache_events_lost");
  if (applied.restarted) this->metrics.Count("prompt_cache_restarts");
  return PromptCacheCallOutcome::kAnswered;
}

// Which engines an instance reads is computed once for each list of instances:
// it takes a hash of each instance for each engine.
void PromptCacheReader::RefreshListed() {
  std::vector<std::string> names;
  for (const InstanceRecord* record : this->fleet.ListedInstances()) {
    names.push_back(record->name);
  }
  std::sort(names.begin(), names.end());
  if (names == this->listed) return;
  this->listed = std::move(names);
  this->owned.clear();
}

bool PromptCacheReader::Owns(const TargetRecord& engine) {
  if (engine.models.empty() || engine.leaving) return false;
  if (!this->caches.IsActive()) return false;
  const auto known = this->owned.find(engine.id);
  if (known != this->owned.end()) return known->second;
  const bool owns = IsRendezvousOwner(engine.id, this->settings.instance,
                                      this->listed, kReadersPerEngine);
  this->owned[engine.id] = owns;
  return owns;
}

bool PromptCacheReader::MayList() {
  const auto self = std::find(this->listed.begin(), this->listed.end(),
                              this->settings.instance);
  if (self == this->listed.end()) return false;
  return this->list_limiter.MayAsk(
      this->wall_clock(), static_cast<std::size_t>(self - this->listed.begin()),
      this->listed.size());
}

}  // namespace dragonflyglade::gateway
