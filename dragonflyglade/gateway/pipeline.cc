#include <utility>
// Asio's coroutine headers use std::exchange without including it.
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <vector>

#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/event_splitter.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/pipeline.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Without a stated deadline a request may take as long as its route allows.
// A target that answers at its deadline is given this much for the answer's
// way back, so that its own word is passed on rather than a guess.
constexpr absl::Duration kAnswerOnItsWay = absl::Milliseconds(30);
// Less time than this is not worth another attempt.
constexpr absl::Duration kLeastForAttempt = absl::Milliseconds(30);
// A request that finds its model or adapter nowhere waits for it: adapters
// are there in some ten milliseconds, models in seconds. Longer than this,
// the caller does better to come back.
// Half of what a caller wants its first output in is the longest useful wait
// for an adapter.
constexpr double kWaitShare = 0.5;  // of the route's latency objective
// How often a waiting request looks whether its caller has left.
constexpr absl::Duration kWaitSlice = absl::Milliseconds(100);
// Declined attempts cost a message each; a request that five targets have
// declined meets a fleet that is full.
constexpr int kMostAttempts = 5;
// When a caller should come back, by what has to happen until then.
constexpr absl::Duration kRetryBusy = absl::Milliseconds(500);
constexpr absl::Duration kRetryModel = absl::Seconds(2);
constexpr absl::Duration kRetryNotReady = absl::Seconds(1);
// Another instance can be asked at once.
constexpr absl::Duration kRetryElsewhere = absl::Milliseconds(50);
// After the signal to stop, requests are taken as ever for this long: callers
// that just asked for instances may still be on their way.
constexpr absl::Duration kLateCallers = absl::Milliseconds(2500);
constexpr double kLongestRetryAfter = 60;  // seconds
// The part of the fleet's retries that instances hand out, each an equal
// share: the rest covers instances that come and go.
constexpr double kUsedRetries = 0.7;
// A retry budget counts over windows that slide; saving up a window's worth
// would allow two in one window.
constexpr double kUsedRetryShare = 0.8;

std::string_view PathOf(std::string_view path_and_query) {
  return path_and_query.substr(0, path_and_query.find('?'));
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that promise that a request has not run. Coming from a target
// without its mark they promise nothing, so they must not be passed on.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

Refusal Make(RefusalCode code, std::string message,
             absl::Duration retry_after = kRetryBusy) {
  return {code, std::move(message), retry_after};
}

}  // namespace

// A request on its way through the pipeline.
struct Pipeline::Job {
  CallerRequest request;
  CallerLink& link;
  std::shared_ptr<const GatewayConfig> config;
  const Route* route = nullptr;
  const WorkspaceSpec* workspace = nullptr;
  const ServiceSpec* service = nullptr;
  double cost = 0;
  Instant started;
  Instant give_up;
  int attempts = 0;  ///< targets that it was sent to
  int runs = 0;      ///< targets where it may have run
  int not_sent = 0;  ///< targets that it could not be sent to
  std::set<std::string> tried;
  std::string target;
  TargetExchange* exchange = nullptr;
  EventSplitter events;
  std::optional<Instant> first_output;
  absl::Duration expected_wait;
  absl::Duration held;  ///< waiting for a target
  std::size_t candidates = 0;

  Job(CallerRequest request, CallerLink& link)
      : request(std::move(request)), link(link) {}

  bool IsEngineWork() const { return !this->request.use.model.empty(); }
  /// Whether it may run at another target after it may have run at one.
  bool MayRunAgain() const {
    return this->route->MayRunAgain() || this->route->resumable;
  }
  double SharedTokens() const;
  std::string_view SharedId() const;
  /// Empty if the request needs no adapter.
  std::string AdapterKey() const {
    const ModelUse& use = this->request.use;
    return use.adapter.empty() ? "" : ResidentKey(use.model, use.adapter);
  }
  /// Prompt tokens that the target is expected to read.
  double UnreadTokens() const {
    return ExpectedRead(this->request.use.prompt_tokens, this->SharedTokens());
  }
};

// The last part of a prompt is the request's own or its session's; all before
// it are shared.
double Pipeline::Job::SharedTokens() const {
  const auto& parts = this->request.use.parts;
  double tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return std::min(tokens, this->request.use.prompt_tokens);
}

std::string_view Pipeline::Job::SharedId() const {
  const auto& parts = this->request.use.parts;
  return parts.size() < 2 ? std::string_view() : parts[parts.size() - 2].id;
}

namespace {

// Counts a request at a target for as long as it is there.
class InFlightGuard {
 public:
  InFlightGuard(TargetState& target, double tokens, std::string adapter)
      : target(target), tokens(tokens), adapter(std::move(adapter)) {
    this->target.Sent(tokens, this->adapter);
  }
  ~InFlightGuard() {
    this->FirstOutput();
    this->target.Ended(this->adapter);
  }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

  void FirstOutput() {
    if (this->seen) return;
    this->seen = true;
    this->target.FirstOutput(this->tokens);
  }

 private:
  TargetState& target;
  const double tokens;
  const std::string adapter;
  bool seen = false;
};

}  // namespace

Pipeline::Pipeline(asio::io_context& context, const GatewaySettings& settings,
                   const WireFormat& wire, FleetState& fleet,
                   ModelDemand& demand, QuotaWindows& quotas,
                   FleetChannel& channel, Metrics& metrics, EventLog& log,
                   Clock clock)
    : context(context),
      settings(settings),
      wire(wire),
      fleet(fleet),
      demand(demand),
      quotas(quotas),
      channel(channel),
      metrics(metrics),
      log(log),
      clock(std::move(clock)) {}

asio::awaitable<void> Pipeline::Serve(CallerRequest request, CallerLink& link) {
  Job job(std::move(request), link);
  job.started = this->clock.Now();
  job.config = this->fleet.Config();
  this->in_flight += 1;
  std::optional<Refusal> refusal = this->Admit(job);
  if (refusal.has_value()) {
    co_await this->Refuse(job, std::move(*refusal));
  } else {
    link.WatchForLeaving([&job] {
      if (job.exchange != nullptr) job.exchange->Abort("caller left");
    });
    co_await this->Forward(job);
    link.StopWatching();
  }
  this->in_flight -= 1;
}

std::optional<Refusal> Pipeline::Admit(Job& job) {
  if (job.config == nullptr) {
    return Make(RefusalCode::kNotReady, "no configuration yet", kRetryNotReady);
  }
  job.route = job.config->routes.Find(job.request.host,
                                      PathOf(job.request.path_and_query));
  if (job.route == nullptr) {
    return Make(RefusalCode::kNotFound, "no route for this host and path");
  }
  std::optional<Refusal> refusal = this->FindWorkspace(job);
  if (refusal.has_value()) return refusal;
  const std::string_view service = PickService(
      job.route->services, absl::Uniform<double>(this->random, 0, 1));
  const auto spec = job.config->services.find(service);
  if (spec == job.config->services.end()) {
    return Make(RefusalCode::kTargetsUnreachable, "the service is unknown");
  }
  job.service = &spec->second;
  const absl::Duration limit =
      std::min(job.request.deadline.value_or(absl::InfiniteDuration()),
               job.route->timeout);
  job.give_up = job.started + limit;
  if (this->EndsTooLate(job)) {
    return Make(RefusalCode::kDraining, "the instance is stopping",
                kRetryElsewhere);
  }
  return std::nullopt;
}

void Pipeline::StopBy(Instant end) {
  this->stop_begun = this->clock.Now();
  this->stop_end = end;
}

// Callers keep coming for seconds after the signal, since they keep the list
// of instances. A stream that they begin late would be cut at the end of the
// process; they do better elsewhere at once.
bool Pipeline::EndsTooLate(const Job& job) const {
  if (!this->stop_end.has_value()) return false;
  if (job.give_up <= *this->stop_end) return false;
  return this->clock.Now() - *this->stop_begun > kLateCallers;
}

std::optional<Refusal> Pipeline::FindWorkspace(Job& job) {
  if (!job.config->wants_keys || job.route->open) return std::nullopt;
  if (job.request.key.empty()) {
    return Make(RefusalCode::kMissingKey, "no key was shown");
  }
  const auto name = job.config->workspace_of_key.find(job.request.key);
  if (name == job.config->workspace_of_key.end()) {
    return Make(RefusalCode::kUnknownKey, "the key is not known");
  }
  job.workspace = &job.config->workspaces.at(name->second);
  const double tokens = job.request.use.Tokens();
  job.cost = !job.workspace->counts_tokens ? 1
             : tokens > 0                  ? tokens
                                           : job.workspace->plain_tokens;
  this->quotas.SetInstances(static_cast<int>(this->fleet.Instances().size()));
  const QuotaVerdict verdict =
      this->quotas.Take(job.workspace->name, job.workspace->quota, job.cost);
  if (verdict.admitted) return std::nullopt;
  this->log.Write(
      "quota", "short",
      {{"id", job.request.id},
       {"workspace", job.workspace->name},
       {"tokens", job.cost},
       {"left", verdict.left},
       {"instances", static_cast<int>(this->fleet.Instances().size())}});
  return Make(RefusalCode::kOverRate, "the workspace is above its rate",
              verdict.retry_after);
}

asio::awaitable<void> Pipeline::Forward(Job& job) {
  const ModelUse& use = job.request.use;
  if (job.IsEngineWork()) {
    const double work_ms =
        EngineWorkMs(use.prompt_tokens, job.SharedTokens(), use.output_tokens);
    this->demand.Asked({job.service->name, use.model, ""}, work_ms);
    if (!use.adapter.empty()) {
      this->demand.Asked({job.service->name, use.model, use.adapter}, work_ms);
    }
  }
  Next next = Next::kTryAnother;
  while (next == Next::kTryAnother) {
    const std::shared_ptr<TargetState> target = co_await this->FindTarget(job);
    if (job.link.Left()) {
      this->Account(job, "caller left", 0);
      co_return;
    }
    if (target == nullptr) {
      const bool models = job.IsEngineWork();
      Refusal refusal = Make(
          models ? RefusalCode::kModelNotResident : RefusalCode::kTargetsBusy,
          "no target can take the request now",
          models ? kRetryModel : kRetryBusy);
      co_await this->Refuse(job, std::move(refusal));
      co_return;
    }
    next = co_await this->Attempt(job, target);
  }
}

std::shared_ptr<TargetState> Pipeline::ChooseAmong(Job& job, bool all) {
  const Instant now = this->clock.Now();
  const int instances =
      std::max<int>(1, static_cast<int>(this->fleet.Instances().size()));
  const int most = std::max(1, job.service->max_connections / instances);
  const ModelUse& use = job.request.use;
  std::vector<std::shared_ptr<TargetState>> targets;
  std::vector<ChoiceCandidate> candidates;
  for (const auto& target : this->fleet.Targets(job.service->name)) {
    const TargetRecord& record = target->Record();
    if (record.leaving || target->InFlight() >= most) continue;
    if (!use.model.empty() && !target->Holds(use.model, use.adapter, now)) {
      continue;
    }
    if (!all && (target->Avoided(now) || job.tried.count(record.id) > 0)) {
      continue;
    }
    ChoiceCandidate candidate;
    candidate.id = record.id;
    candidate.slots = record.slots;
    candidate.requests = target->Requests(now);
    candidate.unread_tokens = target->Unread(now);
    candidate.same_zone = record.zone == this->settings.zone;
    candidate.fault_share = target->FaultShare();
    candidates.push_back(candidate);
    targets.push_back(target);
  }
  ChoiceRequest request;
  request.prompt_tokens = use.prompt_tokens;
  request.shared_tokens = job.SharedTokens();
  request.shared_id = job.SharedId();
  const std::optional<TargetChoice> choice = ChooseTarget(
      request, candidates, absl::Uniform<double>(this->random, 0, 1));
  if (!choice.has_value()) return nullptr;
  job.candidates = candidates.size();
  job.expected_wait = choice->expected_wait;
  return targets[choice->index];
}

std::shared_ptr<TargetState> Pipeline::Choose(Job& job) {
  std::shared_ptr<TargetState> target = this->ChooseAmong(job, false);
  // Where every target is avoided or was tried, the least bad is asked: all
  // being avoided tells more of this instance's links than of the targets.
  if (target == nullptr && job.attempts < 2) {
    target = this->ChooseAmong(job, true);
  }
  return target;
}

asio::awaitable<std::shared_ptr<TargetState>> Pipeline::FindTarget(Job& job) {
  std::shared_ptr<TargetState> target = this->Choose(job);
  if (target != nullptr || !job.IsEngineWork()) co_return target;
  const Instant begun = this->clock.Now();
  const Instant until =
      begun +
      std::min(kWaitShare * job.route->latency_objective, job.give_up - begun);
  const ModelName name{job.service->name, job.request.use.model,
                       job.request.use.adapter};
  this->demand.BeginWait(name);
  Instant now = begun;
  while (target == nullptr && now < until && !job.link.Left()) {
    co_await this->fleet.Changed().Wait(std::min(kWaitSlice, until - now));
    now = this->clock.Now();
    target = this->Choose(job);
  }
  this->demand.EndWait(name);
  job.held += now - begun;
  this->log.Write("request", target != nullptr ? "model found" : "no model",
                  {{"id", job.request.id},
                   {"model", ResidentKey(name.model, name.adapter)},
                   {"waited_ms", now - begun}});
  co_return target;
}

asio::awaitable<Pipeline::Next> Pipeline::Attempt(
    Job& job, std::shared_ptr<TargetState> target) {
  const Instant now = this->clock.Now();
  TargetStamp stamp;
  stamp.target = target->Record().id;
  stamp.time_left = job.give_up - now;
  stamp.resume_after = job.events.LastId().empty()
                           ? job.request.resume_after
                           : std::optional<std::string>(job.events.LastId());
  if (job.workspace != nullptr) stamp.workspace = job.workspace->name;
  if (job.IsEngineWork()) {
    stamp.priority = UrgencyOf(
        job.route->priority,
        job.workspace == nullptr ? std::nullopt : job.workspace->priority);
  }
  job.target = stamp.target;
  job.tried.insert(stamp.target);
  HttpCallText call{job.request.method, job.request.path_and_query,
                    this->wire.target_fields(job.request, stamp), ""};
  call.body = std::move(job.request.body);
  std::string head = RequestText(call, job.request.host);
  job.request.body = std::move(call.body);
  const std::string address = target->Record().address;
  TargetExchange exchange(this->context, target->connections, this->wire,
                          this->clock);
  job.exchange = &exchange;
  InFlightGuard guard(*target, job.UnreadTokens(), job.AdapterKey());
  ExchangeOutcome outcome =
      co_await exchange.Run(address, job.request.id, std::move(head),
                            job.request.body, job.give_up + kAnswerOnItsWay);
  guard.FirstOutput();
  this->metrics.Count(exchange.Reused() ? "target_connections_reused"
                                        : "target_connections");
  Next next = Next::kDone;
  if (const auto* not_sent = std::get_if<NotSent>(&outcome)) {
    next = co_await this->AfterNotSent(job, *target, *not_sent);
  } else if (const auto* declined = std::get_if<Declined>(&outcome)) {
    job.attempts += 1;
    next = co_await this->AfterDeclined(job, *target, *declined);
  } else if (const auto* lost = std::get_if<Lost>(&outcome)) {
    job.attempts += 1;
    job.runs += 1;
    next = co_await this->AfterLost(job, *target, *lost);
  } else if (const auto* whole = std::get_if<WholeAnswer>(&outcome)) {
    job.attempts += 1;
    job.runs += 1;
    next = co_await this->AfterWhole(job, *target, *whole);
  } else {
    job.attempts += 1;
    job.runs += 1;
    next = co_await this->Relay(job, *target, exchange,
                                std::get<StreamHead>(outcome).head);
  }
  job.exchange = nullptr;
  co_return next;
}

bool Pipeline::MayRepeat(Job& job, bool has_run) {
  const Instant now = this->clock.Now();
  if (job.give_up - now < kLeastForAttempt) return false;
  if (job.attempts >= kMostAttempts) return false;
  if (has_run && !job.MayRunAgain()) return false;
  if (has_run && job.runs >= job.route->max_targets) return false;
  if (this->RetriesOf(job.service->name).TakeRetry()) return true;
  this->metrics.Count("retries_refused");
  this->log.Write("retry", "no budget",
                  {{"id", job.request.id}, {"service", job.service->name}});
  return false;
}

RetryBudget& Pipeline::RetriesOf(std::string_view service) {
  const auto found = this->retries.find(service);
  if (found != this->retries.end()) return *found->second;
  const int instances =
      std::max<int>(1, static_cast<int>(this->fleet.Instances().size()));
  const double reserve =
      std::max(1.0, kUsedRetries * this->settings.retry_slack / instances);
  return *this->retries
              .emplace(
                  std::string(service),
                  std::make_unique<RetryBudget>(
                      kUsedRetryShare * this->settings.retry_share, reserve))
              .first->second;
}

asio::awaitable<Pipeline::Next> Pipeline::AfterNotSent(
    Job& job, TargetState& target, const NotSent& not_sent) {
  if (job.link.Left()) {
    this->Account(job, "caller left", 0);
    co_return Next::kDone;
  }
  target.Learn(TargetResult::kUnreachable, this->clock.Now());
  this->log.Write(
      "request", "not sent",
      {{"id", job.request.id}, {"target", job.target}, {"why", not_sent.why}});
  job.not_sent += 1;
  const bool time_left = job.give_up - this->clock.Now() >= kLeastForAttempt;
  if (time_left && job.not_sent < kMostAttempts) co_return Next::kTryAnother;
  Refusal refusal = Make(job.runs > 0 ? RefusalCode::kTargetLost
                                      : RefusalCode::kTargetsUnreachable,
                         "no target could be reached");
  co_await this->Refuse(job, std::move(refusal));
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::AfterDeclined(
    Job& job, TargetState& target, const Declined& declined) {
  const Instant now = this->clock.Now();
  if (job.link.Left()) {
    this->Account(job, "caller left", 0);
    co_return Next::kDone;
  }
  if (declined.head.load.has_value()) {
    target.Reported(*declined.head.load, now);
  }
  const ModelUse& use = job.request.use;
  if (!declined.head.wrong_target) {
    target.MarkFull(now);
  } else if (job.IsEngineWork()) {
    target.MarkAbsent(use.model, use.adapter, now);
    const ModelName name{job.service->name, use.model, use.adapter};
    this->channel.ReportLack(job.target, name);
  } else {
    target.Learn(TargetResult::kUnreachable, now);
  }
  this->log.Write("request", "declined",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"status", declined.head.status},
                   {"attempts", job.attempts}});
  if (this->MayRepeat(job, false)) co_return Next::kTryAnother;
  Refusal refusal =
      Make(job.runs > 0 ? RefusalCode::kTargetLost : RefusalCode::kTargetsBusy,
           "the targets have no place for the request");
  co_await this->Refuse(job, std::move(refusal));
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::AfterLost(Job& job,
                                                    TargetState& target,
                                                    const Lost& lost) {
  if (job.link.Left()) {
    this->Account(job, "caller left", 0);
    co_return Next::kDone;
  }
  target.Learn(TargetResult::kFault, this->clock.Now());
  this->log.Write("request", "lost",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"why", lost.why},
                   {"last_event", job.events.LastId()},
                   {"attempts", job.attempts}});
  job.events.Restart();
  // Events without ids cannot be gone on from.
  const bool resumable =
      !job.link.StreamBegun() || !job.events.LastId().empty();
  if (!lost.timed_out && resumable && this->MayRepeat(job, true)) {
    co_return Next::kTryAnother;
  }
  if (job.link.StreamBegun()) {
    // No answer can follow on this connection; an end without the last chunk
    // tells the caller that the stream is not whole.
    this->Account(job, "stream broken", 0);
    job.link.Abort();
    co_return Next::kDone;
  }
  Refusal refusal =
      lost.timed_out ? Make(RefusalCode::kTargetTimeout, "no answer in time")
                     : Make(RefusalCode::kTargetLost, "the target broke off");
  co_await this->Refuse(job, std::move(refusal));
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::AfterWhole(
    Job& job, TargetState& target, const WholeAnswer& answer) {
  const Instant now = this->clock.Now();
  const AnswerHead& head = answer.head;
  if (head.load.has_value()) target.Reported(*head.load, now);
  const bool unsound =
      head.encoded ||
      (IsSuccess(head.status) && (!head.is_signed || job.link.StreamBegun()));
  if (unsound) {
    const Lost lost{"not its answer"};
    co_return co_await this->AfterLost(job, target, lost);
  }
  if (IsPromise(head.status)) {
    const Lost lost{"refused without a mark"};
    co_return co_await this->AfterLost(job, target, lost);
  }
  const bool failed = head.status >= 500;
  target.Learn(failed ? TargetResult::kFault : TargetResult::kSound, now);
  job.first_output = now;
  if (failed && this->MayRepeat(job, true)) {
    this->log.Write("request", "failed at target",
                    {{"id", job.request.id},
                     {"target", job.target},
                     {"status", head.status}});
    co_return Next::kTryAnother;
  }
  if (job.link.StreamBegun()) {
    this->Account(job, "stream broken", 0);
    job.link.Abort();
    co_return Next::kDone;
  }
  const bool written =
      co_await job.link.WriteAnswer(head.status, head.passed_on, answer.body);
  this->Account(job, written ? "answered" : "caller left", head.status);
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::Relay(Job& job, TargetState& target,
                                                TargetExchange& exchange,
                                                const AnswerHead& head) {
  if (head.load.has_value()) {
    target.Reported(*head.load, this->clock.Now());
  }
  if (!IsSuccess(head.status) || !head.is_signed || head.encoded) {
    const Lost lost{"not its stream"};
    co_return co_await this->AfterLost(job, target, lost);
  }
  while (true) {
    const StreamPiece piece = co_await exchange.Read();
    if (const auto* lost = std::get_if<Lost>(&piece)) {
      co_return co_await this->AfterLost(job, target, *lost);
    }
    const bool ended = std::holds_alternative<StreamEnded>(piece);
    const std::string_view events =
        ended ? std::string_view()
              : job.events.Add(std::get<StreamBytes>(piece).bytes);
    if (job.events.OutOfOrder() || (ended && job.events.HasPartial())) {
      exchange.Abort("events out of order or cut");
      const Lost cut{"events out of order or cut"};
      co_return co_await this->AfterLost(job, target, cut);
    }
    const bool written = co_await this->RelayEvents(job, head, events, ended);
    if (!written) {
      exchange.Abort("caller left");
      this->Account(job, "caller left", head.status);
      co_return Next::kDone;
    }
    if (!ended) continue;
    target.Learn(TargetResult::kSound, this->clock.Now());
    this->Account(job, "answered", head.status);
    co_return Next::kDone;
  }
}

asio::awaitable<bool> Pipeline::RelayEvents(Job& job, const AnswerHead& head,
                                            std::string_view events,
                                            bool ended) {
  if (!events.empty() && !job.first_output.has_value()) {
    job.first_output = this->clock.Now();
  }
  bool written = !job.link.Left();
  if (!job.link.StreamBegun() && (!events.empty() || ended)) {
    written =
        co_await job.link.BeginStream(head.status, head.passed_on, events);
  } else if (!events.empty()) {
    written = co_await job.link.WritePart(events);
  }
  if (written && ended) written = co_await job.link.EndStream();
  co_return written;
}

asio::awaitable<void> Pipeline::Refuse(Job& job, Refusal refusal) {
  const RefusalRule& rule = RuleOf(refusal.code);
  if (rule.ran == Ran::kNo && job.workspace != nullptr &&
      refusal.code != RefusalCode::kOverRate) {
    this->quotas.GiveBack(job.workspace->name, job.cost);
  }
  HeaderFields fields = this->wire.answer_fields(job.request);
  fields.emplace_back("Content-Type", "application/json");
  if (rule.retry_later) {
    // Callers honour fractions; whole seconds would keep them away for long
    // after a place is free.
    const double seconds = std::min(absl::ToDoubleSeconds(refusal.retry_after),
                                    kLongestRetryAfter);
    fields.emplace_back("Retry-After", fmt::format("{:.2f}", seconds));
  }
  const std::string body = RefusalBody(refusal, job.request.id);
  co_await job.link.WriteAnswer(rule.http_status, std::move(fields), body);
  this->metrics.Count("refusals", fmt::format("code=\"{}\"", rule.name));
  this->Account(job, rule.name, rule.http_status);
}

void Pipeline::Account(Job& job, std::string_view outcome, int status) {
  const Instant now = this->clock.Now();
  const absl::Duration first = job.first_output.value_or(now) - job.started;
  const std::string route = job.route == nullptr ? "" : job.route->name;
  this->metrics.Count("requests", fmt::format("outcome=\"{}\"", outcome));
  if (outcome == "answered") {
    this->metrics.Observe("first_output_seconds", "",
                          absl::ToDoubleSeconds(first));
    this->metrics.Observe("request_seconds", "",
                          absl::ToDoubleSeconds(now - job.started));
  }
  this->log.Write(
      "request", outcome,
      {{"id", job.request.id},
       {"status", status},
       {"route", route},
       {"workspace",
        job.workspace == nullptr ? std::string() : job.workspace->name},
       {"config", job.config == nullptr ? 0 : job.config->version},
       {"target", job.target},
       {"model", ResidentKey(job.request.use.model, job.request.use.adapter)},
       {"tokens", job.request.use.Tokens()},
       {"candidates", static_cast<int>(job.candidates)},
       {"attempts", job.attempts},
       {"held_ms", job.held},
       {"expected_ms", job.expected_wait},
       {"first_ms", first},
       {"total_ms", now - job.started}});
}

}  // namespace dragonflyglade::gateway
