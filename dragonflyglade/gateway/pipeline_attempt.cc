// The part of Pipeline that speaks to one target and judges what came of it.
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A target that answers at its deadline is given this much for the answer's
// way back, so that its own word is passed on rather than a guess.
constexpr absl::Duration kAnswerOnItsWay = absl::Milliseconds(30);
// Less time than this is not worth another attempt.
constexpr absl::Duration kLeastForAttempt = absl::Milliseconds(30);
// Declined attempts cost a message each; a request that five targets have
// declined meets a fleet that is full.
constexpr int kMostAttempts = 5;
// The part of the fleet's retries that instances hand out, each an equal
// share: the rest covers instances that come and go.
constexpr double kUsedRetries = 0.7;
// A retry budget counts over windows that slide; saving up a window's worth
// would allow two in one window.
constexpr double kUsedRetryShare = 0.8;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that promise that a request has not run. Coming from a target
// without its mark they promise nothing, so they must not be passed on.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Counts a request at a target for as long as it is there.
class InFlightGuard {
 public:
  InFlightGuard(TargetState& target, double tokens, std::string resident,
                Instant now)
      : target(target), tokens(tokens), resident(std::move(resident)) {
    this->target.Sent(tokens, this->resident, now);
  }
  ~InFlightGuard() {
    this->FirstOutput();
    this->target.Ended(this->resident);
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
  const std::string resident;
  bool seen = false;
};

}  // namespace

asio::awaitable<Pipeline::Next> Pipeline::Attempt(
    RequestJob& job, std::shared_ptr<TargetState> target) {
  const Instant now = this->clock.Now();
  ForwardingContext stamp;
  stamp.target = target->Record().id;
  stamp.time_left = job.give_up - now;
  stamp.resume_after = job.events.LastId().empty()
                           ? job.request.resume_after
                           : std::optional<std::string>(job.events.LastId());
  if (job.workspace != nullptr) stamp.workspace = job.workspace->name;
  if (job.IsEngineWork()) {
    stamp.priority = EngineRequestPriority(
        job.route->priority,
        job.workspace == nullptr ? std::nullopt : job.workspace->priority);
  }
  job.target = stamp.target;
  job.tried.insert(stamp.target);
  OutgoingHttpRequest call{job.request.method, job.request.path_and_query,
                           this->wire.target_request_fields(job.request, stamp),
                           ""};
  call.body = std::move(job.request.body);
  std::string head = RequestHeadText(call, job.request.host);
  job.request.body = std::move(call.body);
  const std::string address = target->Record().address;
  TargetExchange exchange(this->context, target->connections, this->wire,
                          this->clock);
  job.exchange = &exchange;
  InFlightGuard guard(*target, job.UnreadTokens(), job.Resident(), now);
  if (job.IsEngineWork()) {
    this->channel.BroadcastSentPrompt(job.target, job.UnreadTokens());
  }
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

bool Pipeline::MayRepeat(RequestJob& job, bool has_run) {
  const Instant now = this->clock.Now();
  if (job.give_up - now < kLeastForAttempt) return false;
  if (job.attempts >= kMostAttempts) return false;
  if (has_run && !job.MayReexecute()) return false;
  if (has_run && job.runs >= job.route->max_targets) return false;
  if (this->RetriesOf(job.service->name).TryConsumeRetry()) return true;
  this->metrics.Count("retries_refused");
  this->log.Write("retry", "no budget",
                  {{"id", job.request.id}, {"service", job.service->name}});
  return false;
}

RetryBudget& Pipeline::RetriesOf(std::string_view service) {
  const auto found = this->retries.find(service);
  if (found != this->retries.end()) return *found->second;
  const int instances =
      std::max<int>(1, static_cast<int>(this->fleet.ListedInstances().size()));
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
    RequestJob& job, TargetState& target, const NotSent& not_sent) {
  if (job.link.Left()) {
    this->Account(job, "caller left", 0);
    co_return Next::kDone;
  }
  target.Learn(TargetResult::kUnreachable, this->clock.Now());
  this->log.Write(
      "request", "not sent",
      {{"id", job.request.id}, {"target", job.target}, {"why", not_sent.why}});
  job.not_sent += 1;
  job.unreachable.insert(job.target);
  if (not_sent.refused) this->channel.ReportConnectionRefused(job.target);
  const bool time_left = job.give_up - this->clock.Now() >= kLeastForAttempt;
  if (time_left && job.not_sent < kMostAttempts) co_return Next::kTryAnother;
  Refusal refusal = MakeRefusal(job.runs > 0 ? RefusalCode::kTargetLost
                                             : RefusalCode::kTargetsUnreachable,
                                "no target could be reached");
  co_await this->Refuse(job, std::move(refusal));
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::AfterDeclined(
    RequestJob& job, TargetState& target, const Declined& declined) {
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
    target.MarkNotResident(use.model, use.adapter, now);
    const ModelName name{job.service->name, use.model, use.adapter};
    this->channel.ReportMissingModel(job.target, name);
  } else {
    target.Learn(TargetResult::kUnreachable, now);
  }
  this->log.Write("request", "declined",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"status", declined.head.status},
                   {"attempts", job.attempts}});
  if (this->MayRepeat(job, false)) co_return Next::kTryAnother;
  Refusal refusal = MakeRefusal(
      job.runs > 0 ? RefusalCode::kTargetLost : RefusalCode::kTargetsBusy,
      "the targets have no place for the request");
  co_await this->Refuse(job, std::move(refusal));
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::AfterLost(RequestJob& job,
                                                    TargetState& target,
                                                    const Lost& lost) {
  if (job.link.Left()) {
    this->Account(job, "caller left", 0);
    co_return Next::kDone;
  }
  target.Learn(TargetResult::kFailure, this->clock.Now());
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
  Refusal refusal =
      lost.timed_out
          ? MakeRefusal(RefusalCode::kTargetTimeout, "no answer in time")
          : MakeRefusal(RefusalCode::kTargetLost, "the target broke off");
  co_await this->Refuse(job, std::move(refusal));
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::AfterWhole(
    RequestJob& job, TargetState& target, const WholeAnswer& answer) {
  const Instant now = this->clock.Now();
  const ResponseHead& head = answer.head;
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
  target.Learn(failed ? TargetResult::kFailure : TargetResult::kSuccess, now);
  job.first_output = now;
  if (failed && this->MayRepeat(job, true)) {
    this->log.Write("request", "failed at target",
                    {{"id", job.request.id},
                     {"target", job.target},
                     {"status", head.status}});
    co_return Next::kTryAnother;
  }
  if (job.link.StreamBegun()) {
    this->BreakStream(job);
    co_return Next::kDone;
  }
  const bool written = co_await job.link.WriteResponse(
      head.status, head.forwarded_fields, answer.body);
  this->Account(job, written ? "answered" : "caller left", head.status);
  co_return Next::kDone;
}

asio::awaitable<Pipeline::Next> Pipeline::Relay(RequestJob& job,
                                                TargetState& target,
                                                TargetExchange& exchange,
                                                const ResponseHead& head) {
  if (head.load.has_value()) {
    target.Reported(*head.load, this->clock.Now());
  }
  if (!IsSuccess(head.status) || !head.is_signed || head.encoded) {
    const Lost lost{"not its stream"};
    co_return co_await this->AfterLost(job, target, lost);
  }
  while (true) {
    const StreamReadResult piece = co_await exchange.Read();
    if (const auto* lost = std::get_if<Lost>(&piece)) {
      co_return co_await this->AfterLost(job, target, *lost);
    }
    const bool ended = std::holds_alternative<EndOfStream>(piece);
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
    target.Learn(TargetResult::kSuccess, this->clock.Now());
    this->Account(job, "answered", head.status);
    co_return Next::kDone;
  }
}

asio::awaitable<bool> Pipeline::RelayEvents(RequestJob& job,
                                            const ResponseHead& head,
                                            std::string_view events,
                                            bool ended) {
  if (!events.empty() && !job.first_output.has_value()) {
    job.first_output = this->clock.Now();
  }
  bool written = !job.link.Left();
  if (!job.link.StreamBegun() && (!events.empty() || ended)) {
    written = co_await job.link.BeginStream(head.status, head.forwarded_fields,
                                            events);
  } else if (!events.empty()) {
    written = co_await job.link.WritePart(events);
  }
  if (written && ended) written = co_await job.link.EndStream();
  co_return written;
}

}  // namespace dragonflyglade::gateway
