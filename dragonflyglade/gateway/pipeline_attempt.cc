// The methods of Pipeline that send a request to one target and evaluate the
// outcome.
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Network delay allowed for a response that a target sends exactly at the
// deadline, so that the caller gets this response rather than a timeout.
constexpr absl::Duration kResponseTravelTime = absl::Milliseconds(30);
// With less time left, another attempt has no chance to finish.
constexpr absl::Duration kMinAttemptTime = absl::Milliseconds(30);
// Each declined attempt costs a message; if five targets have declined, all
// targets are probably full.
constexpr int kMaxAttempts = 5;
// The share of the fleet's retries that the instances use, divided equally. The
// rest covers instances that join or leave.
constexpr double kUsedRetries = 0.7;
// The limit on retries holds over any window, wherever it starts. A budget that
// saves up a whole window's retries could spend two windows' worth in one.
constexpr double kUsedRetryShare = 0.8;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Statuses that tell a caller that its request was not executed. A target's
// response with such a status but without the not-executed field does not prove
// that, so it must not be forwarded.
bool ImpliesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Counts a request as in flight at a target during its lifetime.
class InFlightGuard {
 public:
  InFlightGuard(TargetState& target, double tokens, std::string resident,
                Instant now)
      : target(target), tokens(tokens), resident(std::move(resident)) {
    this->target.RecordSent(tokens, this->resident, now);
  }
  ~InFlightGuard() {
    this->RecordFirstOutput();
    this->target.RecordEnd(this->resident);
  }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

  void RecordFirstOutput() {
    if (this->prompt_done) return;
    this->prompt_done = true;
    this->target.RecordFirstOutput(this->tokens);
  }

 private:
  TargetState& target;
  const double tokens;
  const std::string resident;
  bool prompt_done = false;
};

// Whether the target has begun to answer, so that it has read the prompt.
bool HasOutput(const ExchangeOutcome& outcome) {
  if (const auto* response = std::get_if<CompleteResponse>(&outcome)) {
    return response->head.is_signed && IsSuccess(response->head.status);
  }
  const auto* stream = std::get_if<StreamHead>(&outcome);
  return stream != nullptr && stream->head.is_signed &&
         IsSuccess(stream->head.status);
}

// The values that the request carries to its target.
ForwardingContext MakeForwardingContext(const RequestJob& job,
                                        std::string target, Instant now) {
  ForwardingContext stamp;
  stamp.target = std::move(target);
  stamp.time_left = job.deadline - now;
  stamp.resume_after = job.events.LastId().empty()
                           ? job.request.resume_after
                           : std::optional<std::string>(job.events.LastId());
  if (job.copy.has_value()) {
    (job.continues_copy ? stamp.continue_from : stamp.backup) =
        job.copy->address;
  }
  if (job.workspace != nullptr) stamp.workspace = job.workspace->name;
  if (job.NeedsModel()) {
    stamp.priority = EngineRequestPriority(
        job.route->priority,
        job.workspace == nullptr ? std::nullopt : job.workspace->priority);
  }
  return stamp;
}

}  // namespace

// Without a tunnel, the own path is tried once: it may be back, or may not have
// been lost.
bool Pipeline::MayTryOwnPath(const RequestJob& job) const {
  return !job.tried_lost_path && this->paths.IsIsolated(job.service->name);
}

TargetPath Pipeline::ChoosePath(RequestJob& job, const TargetState& target) {
  TargetPath path = this->paths.PathTo(target);
  if (!this->paths.IsIsolated(job.service->name)) return path;
  const bool no_tunnel = std::holds_alternative<NoPath>(path);
  if (!no_tunnel && job.not_sent < kMaxAttempts) return path;
  job.tried_lost_path = true;
  return DirectPath{};
}

asio::awaitable<Pipeline::NextStep> Pipeline::Attempt(
    RequestJob& job, std::shared_ptr<TargetState> target) {
  const Instant now = this->clock.Now();
  if (!job.continues_copy) this->ChooseBackup(job, *target);
  const ForwardingContext stamp =
      MakeForwardingContext(job, target->Record().id, now);
  job.target = stamp.target;
  job.target_version = target->Record().version;
  job.tried.insert(stamp.target);
  const OutgoingHttpRequest call{
      job.request.method, job.request.path_and_query,
      this->wire.target_request_fields(job.request, stamp), ""};
  const std::size_t body_bytes =
      job.request.body == nullptr ? 0 : job.request.body->size();
  std::string head = RequestHeadText(call, job.request.host, body_bytes);
  this->RecordStreamSent(job);
  const std::string address = target->Record().address;
  const TargetPath path = this->ChoosePath(job, *target);
  const auto* tunnel = std::get_if<TunnelPath>(&path);
  TargetExchange exchange(
      this->context, tunnel == nullptr ? target->connections : target->tunnels,
      this->wire, this->clock);
  this->paths.Use(path, *target, exchange);
  this->paths.RecheckBeforeSend(path, *target, exchange);
  CallerBuffers::Receipt receipt(this->caller_buffers,
                                 [&exchange] { exchange.CutOff(); });
  exchange.CountBody(receipt);
  job.exchange = &exchange;
  job.receipt = &receipt;
  job.attempt_started = now;
  job.attempt_first_output.reset();
  job.survival_recorded = false;
  job.uses_own_path = tunnel == nullptr;
  if (job.uses_own_path) {
    job.sent_over_own_path = this->paths.RecordSent(job.service->name);
  }
  // A continued run's prompt is in the engine's memory already.
  const double unread_tokens = job.continues_copy ? 0 : job.UnreadTokens();
  const int new_run = job.continues_copy ? 0 : 1;
  std::optional<InFlightGuard> guard;
  guard.emplace(*target, unread_tokens, job.Resident(), now);
  std::optional<PromptRead> prompt_read;
  if (!job.continues_copy) {
    prompt_read.emplace(this->prompt_caches, job, target->Record());
  }
  if (job.NeedsModel() && !job.continues_copy) {
    this->channel.BroadcastSentPrompt(job.target, unread_tokens);
  }
  ExchangeOutcome outcome = co_await exchange.Run(
      address, job.request.id, std::move(head), job.request.body,
      job.deadline + kResponseTravelTime);
  guard->RecordFirstOutput();
  if (prompt_read.has_value()) prompt_read->Finish(HasOutput(outcome));
  // A caller that reads slowly holds no place at a target that has answered.
  // The write to the caller counts its bytes from now on.
  if (std::holds_alternative<CompleteResponse>(outcome)) {
    guard.reset();
    receipt.Clear();
  }
  if (job.uses_own_path && !std::holds_alternative<NotSent>(outcome) &&
      !std::holds_alternative<OutcomeUnknown>(outcome)) {
    this->paths.RecordReceived(job.service->name);
  }
  this->metrics.Count(exchange.Reused() ? "target_connections_reused"
                                        : "target_connections");
  NextStep next = NextStep::kDone;
  if (const auto* not_sent = std::get_if<NotSent>(&outcome)) {
    next = co_await this->AfterNotSent(job, *target, path, *not_sent);
  } else if (const auto* declined = std::get_if<Declined>(&outcome)) {
    job.attempts += 1;
    next = co_await this->AfterDeclined(job, *target, *declined);
  } else if (const auto* unknown = std::get_if<OutcomeUnknown>(&outcome)) {
    job.attempts += 1;
    job.executions += new_run;
    next = co_await this->AfterOutcomeUnknown(job, *target, *unknown);
  } else if (const auto* response = std::get_if<CompleteResponse>(&outcome)) {
    job.attempts += 1;
    job.executions += new_run;
    next = co_await this->AfterResponse(job, *target, *response);
  } else {
    job.attempts += 1;
    job.executions += new_run;
    next = co_await this->RelayStream(job, *target, exchange,
                                      std::get<StreamHead>(outcome).head);
  }
  job.exchange = nullptr;
  job.receipt = nullptr;
  this->RecordAttemptEnded(job);
  co_return next;
}

void Pipeline::RecordAttemptEnded(RequestJob& job) {
  if (!job.sent_over_own_path.has_value()) return;
  this->paths.RecordEnded(job.service->name, *job.sent_over_own_path);
  job.sent_over_own_path.reset();
}

void Pipeline::RecordResponseHead(TargetState& target,
                                  const ResponseHead& head) {
  const Instant now = this->clock.Now();
  if (head.load.has_value()) target.SetLoadReport(*head.load, now);
  if (head.wrong_target) return;
  this->RecordBrittleness(target, head);
  // A failure may come from a part of the target that knows no limit.
  const bool states_no_limit =
      !head.has_rate_limit_field && head.is_signed && IsSuccess(head.status);
  if (!head.rate_limit.has_value() && !states_no_limit) return;
  if (!target.RateLimit().Record(head.rate_limit, now)) return;
  this->log.Write("targets", head.rate_limit ? "limit stated" : "limit ended",
                  {{"target", target.Record().id},
                   {"field", head.rate_limit_field},
                   {"requests_per_s", head.rate_limit.value_or(0)}});
  this->channel.ReportStatementChange();
}

void Pipeline::RecordBrittleness(TargetState& target,
                                 const ResponseHead& head) {
  const bool states_none =
      !head.has_brittle_field && head.is_signed && IsSuccess(head.status);
  if (!head.declines_per_second.has_value() && !states_none) return;
  BrittleTarget& brittleness = target.Brittleness();
  if (!brittleness.RecordStatement(head.declines_per_second,
                                   this->clock.Now())) {
    return;
  }
  this->log.Write("targets",
                  brittleness.IsBrittle() ? "brittle" : "no longer brittle",
                  {{"target", target.Record().id},
                   {"field", head.brittle_field},
                   {"declines_per_s", head.declines_per_second.value_or(0)}});
  this->channel.ReportStatementChange();
}

// @param may_be_complete whether the answer is complete if the target lives
void Pipeline::RecordEndedExchange(const RequestJob& job,
                                   const TargetState& target,
                                   bool may_be_complete) {
  EndedExchange exchange;
  exchange.request_id = job.request.id;
  exchange.digest = job.digest;
  exchange.shared_parts.assign(job.SharedParts().begin(),
                               job.SharedParts().end());
  exchange.was_beginning = job.IsBeginning(this->clock.Now());
  exchange.may_be_complete = may_be_complete;
  this->crash_detector.RecordEnded(target.Record(), std::move(exchange));
}

bool Pipeline::HasAttemptLeft(const RequestJob& job) const {
  if (job.deadline - this->clock.Now() < kMinAttemptTime) return false;
  return job.attempts < kMaxAttempts;
}

// The next target might crash on the request, too. What has been answered on
// for a while is sound.
bool Pipeline::MayCrashNextTarget(const RequestJob& job) const {
  return job.IsBeginning(this->clock.Now()) &&
         this->crashing_parts.AnySuspect(job.SharedParts());
}

bool Pipeline::MayRetry(RequestJob& job, bool may_have_run) {
  if (!this->HasAttemptLeft(job)) return false;
  if (may_have_run && !job.MayReexecute()) return false;
  if (may_have_run && job.executions >= job.route->max_targets) return false;
  if (may_have_run && this->MayCrashNextTarget(job)) return false;
  return this->ConsumeRetry(job);
}

bool Pipeline::ConsumeRetry(const RequestJob& job) {
  if (this->RetryBudgetOf(job.service->name).TryConsumeRetry()) return true;
  this->metrics.Count("retries_refused");
  this->log.Write("retry", "no retry budget left",
                  {{"id", job.request.id}, {"service", job.service->name}});
  return false;
}

RetryBudget& Pipeline::RetryBudgetOf(std::string_view service) {
  const auto found = this->retry_budgets.find(service);
  if (found != this->retry_budgets.end()) return *found->second;
  const int instances =
      std::max<int>(1, static_cast<int>(this->fleet.ListedInstances().size()));
  const double reserve =
      std::max(1.0, kUsedRetries * this->settings.retry_slack / instances);
  return *this->retry_budgets
              .emplace(
                  std::string(service),
                  std::make_unique<RetryBudget>(
                      kUsedRetryShare * this->settings.retry_share, reserve))
              .first->second;
}

// A failure of this instance's own path says nothing about the target while the
// instance is isolated; another instance may reach the target then, and also if
// only the path between these two is lost.
void Pipeline::RecordUnreachable(RequestJob& job, TargetState& target,
                                 const TargetPath& path,
                                 const NotSent& not_sent) {
  if (not_sent.withheld) return;
  if (not_sent.peer_failed || not_sent.peer_rest > absl::ZeroDuration()) {
    job.tried.erase(job.target);
    return;
  }
  const bool tunneled = std::holds_alternative<TunnelPath>(path);
  if (tunneled || !this->paths.IsIsolated(job.service->name)) {
    target.RecordResult(TargetResult::kUnreachable, this->clock.Now());
  }
  if (tunneled && not_sent.connect_error == ConnectError::kRefused) {
    this->channel.ReportConnectionRefused(job.target);
  }
  const bool other_path = !tunneled && std::holds_alternative<TunnelPath>(
                                           this->paths.PathTo(target));
  if (!other_path) job.unreachable.insert(job.target);
}

asio::awaitable<Pipeline::NextStep> Pipeline::AfterNotSent(
    RequestJob& job, TargetState& target, const TargetPath& path,
    const NotSent& not_sent) {
  if (job.connection.IsDisconnected()) {
    this->RecordOutcome(job, "caller left", 0);
    co_return NextStep::kDone;
  }
  const auto* tunnel = std::get_if<TunnelPath>(&path);
  this->log.Write("request", "not sent",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"peer", tunnel == nullptr ? "" : tunnel->peer},
                   {"why", not_sent.why}});
  job.not_sent += 1;
  // Further attempts on paths that may be lost would use up those that a tunnel
  // needs.
  if (job.not_sent > 1) co_await this->paths.AwaitVerdict(job.service->name);
  this->RecordUnreachable(job, target, path, not_sent);
  const bool time_left = job.deadline - this->clock.Now() >= kMinAttemptTime;
  // The copy is unused, and another path may lead to it.
  if (job.continues_copy && this->EngineOfCopy(job) == nullptr) {
    co_return co_await this->AfterContinuationFailed(job, not_sent.why);
  }
  const bool attempts_left =
      job.not_sent < kMaxAttempts || this->MayTryOwnPath(job);
  if (time_left && attempts_left) co_return NextStep::kTryAnother;
  Refusal refusal =
      MakeRefusal(job.executions > 0 ? RefusalCode::kTargetLost
                                     : RefusalCode::kTargetsUnreachable,
                  "no target could be reached");
  co_await this->Refuse(job, std::move(refusal));
  co_return NextStep::kDone;
}

asio::awaitable<Pipeline::NextStep> Pipeline::AfterDeclined(
    RequestJob& job, TargetState& target, const Declined& declined) {
  const Instant now = this->clock.Now();
  if (job.connection.IsDisconnected()) {
    this->RecordOutcome(job, "caller left", 0);
    co_return NextStep::kDone;
  }
  this->RecordResponseHead(target, declined.head);
  if (job.continues_copy) {
    co_return co_await this->AfterContinuationFailed(job, "no copy");
  }
  const ModelUse& use = job.request.use;
  if (!declined.head.wrong_target) {
    target.MarkFull(now);
    if (target.Brittleness().IsBrittle()) this->channel.ReportStatementChange();
  } else if (job.NeedsModel()) {
    target.MarkNotResident(use.model, use.adapter, now);
    if (use.adapter.empty()) {
      this->prompt_caches.DropModel(job.target, use.model);
    }
    const ModelName name{job.service->name, use.model, use.adapter};
    this->channel.ReportMissingModel(job.target, name);
  } else {
    target.RecordResult(TargetResult::kUnreachable, now);
  }
  this->log.Write("request", "declined",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"status", declined.head.status},
                   {"attempts", job.attempts}});
  if (this->MayRetry(job, false)) co_return NextStep::kTryAnother;
  Refusal refusal = MakeRefusal(
      job.executions > 0 ? RefusalCode::kTargetLost : RefusalCode::kTargetsBusy,
      "the targets have no place for the request");
  co_await this->Refuse(job, std::move(refusal));
  co_return NextStep::kDone;
}

asio::awaitable<Pipeline::NextStep> Pipeline::AfterOutcomeUnknown(
    RequestJob& job, TargetState& target, const OutcomeUnknown& unknown) {
  if (unknown.no_memory) {
    co_await this->EndCutOff(job);
    co_return NextStep::kDone;
  }
  if (unknown.connection_ended && !unknown.caller_was_slow) {
    this->RecordEndedExchange(job, target, false);
  }
  if (job.connection.IsDisconnected()) {
    this->RecordOutcome(job, "caller left", 0);
    co_return NextStep::kDone;
  }
  if (!unknown.caller_was_slow) {
    target.RecordResult(TargetResult::kFailure, this->clock.Now());
  }
  this->log.Write("request", "lost",
                  {{"id", job.request.id},
                   {"digest", job.digest},
                   {"target", job.target},
                   {"why", unknown.why},
                   {"last_event", job.events.LastId()},
                   {"shared_parts", job.SharedPartIds()},
                   {"caller_was_slow", unknown.caller_was_slow},
                   {"sent_ago_ms", this->clock.Now() - job.attempt_started},
                   {"attempts", job.attempts}});
  job.events.Restart();
  const std::optional<NextStep> next =
      co_await this->ContinueFromCopy(job, unknown);
  if (next.has_value()) co_return *next;
  // A stream whose events have no ids cannot be resumed.
  const bool resumable =
      !job.connection.StreamStarted() || !job.events.LastId().empty();
  if (!unknown.timed_out && resumable && this->MayRetry(job, true)) {
    co_return NextStep::kTryAnother;
  }
  Refusal refusal =
      unknown.timed_out
          ? MakeRefusal(RefusalCode::kTargetTimeout, "no answer in time")
          : MakeRefusal(RefusalCode::kTargetLost, "the target broke off");
  co_await this->Refuse(job, std::move(refusal));
  co_return NextStep::kDone;
}

asio::awaitable<Pipeline::NextStep> Pipeline::AfterResponse(
    RequestJob& job, TargetState& target, const CompleteResponse& response) {
  const Instant now = this->clock.Now();
  const ResponseHead& head = response.head;
  this->RecordResponseHead(target, head);
  const bool invalid =
      head.encoded || (IsSuccess(head.status) &&
                       (!head.is_signed || job.connection.StreamStarted()));
  if (invalid) {
    const OutcomeUnknown unknown{
        "answer is not signed, is encoded or is no stream"};
    co_return co_await this->AfterOutcomeUnknown(job, target, unknown);
  }
  // The first engine took the request, so the status concerns the copy.
  if (job.continues_copy && !IsSuccess(head.status)) {
    const std::string why = fmt::format("status {}", head.status);
    co_return co_await this->AfterContinuationFailed(job, why);
  }
  if (ImpliesNotExecuted(head.status)) {
    const OutcomeUnknown unknown{"refused without the not-executed field"};
    co_return co_await this->AfterOutcomeUnknown(job, target, unknown);
  }
  const bool failed = head.status >= 500;
  target.RecordResult(failed ? TargetResult::kFailure : TargetResult::kSuccess,
                      now);
  job.RecordOutput(now);
  if (response.ended_by_close) {
    this->RecordEndedExchange(job, target, true);
  } else if (IsSuccess(head.status)) {
    this->crashing_parts.RecordSurvival(job.SharedParts(), job.target_version);
  }
  if (failed && this->MayRetry(job, true)) {
    this->log.Write("request", "failed at target",
                    {{"id", job.request.id},
                     {"target", job.target},
                     {"status", head.status}});
    co_return NextStep::kTryAnother;
  }
  if (job.connection.StreamStarted()) {
    this->AbortStream(job);
    co_return NextStep::kDone;
  }
  this->EndCopy(job, IsSuccess(head.status));
  const bool written = co_await job.connection.WriteResponse(
      head.status, head.forwarded_fields, response.body);
  this->RecordOutcome(job, written ? "answered" : "caller left", head.status);
  co_return NextStep::kDone;
}

}  // namespace dragonflyglade::gateway
