// The methods of Pipeline that evaluate the outcome of an attempt.
#include <fmt/format.h>

#include <optional>
#include <utility>

#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/pipeline_attempt.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Statuses that tell a caller that its request was not executed. A target's
// response with such a status but without the not-executed field does not prove
// that, so it must not be forwarded.
bool ImpliesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

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
                   {"names", declined.head.request_id},
                   {"earlier_exchanges", declined.earlier_exchanges},
                   {"attempts", job.attempts}});
  if (this->MayRetry(job, false)) co_return NextStep::kTryAnother;
  Refusal refusal = MakeRefusal(
      job.executions > 0 ? RefusalCode::kTargetLost : RefusalCode::kTargetsBusy,
      "the targets have no place for the request");
  co_await this->Refuse(job, std::move(refusal));
  co_return NextStep::kDone;
}

void Pipeline::LogSkipped(const RequestJob& job, const ResponseHead& head) {
  this->metrics.Count("skipped_responses");
  this->log.Write("request", "response skipped",
                  {{"id", job.request.id},
                   {"target", job.target},
                   {"status", head.status},
                   {"names", head.request_id},
                   {"not_executed", head.not_executed}});
}

void Pipeline::RecordLostAnswer(const RequestJob& job, TargetState& target,
                                const OutcomeUnknown& unknown) {
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
  if (unknown.caller_was_slow) return;
  target.RecordResult(TargetResult::kFailure, this->clock.Now());
}

asio::awaitable<Pipeline::NextStep> Pipeline::AfterOutcomeUnknown(
    RequestJob& job, TargetState& target, const OutcomeUnknown& unknown) {
  if (unknown.no_memory) {
    co_await this->EndCutOff(job);
    co_return NextStep::kDone;
  }
  const bool caller_left = job.connection.IsDisconnected();
  if (!caller_left) this->RecordLostAnswer(job, target, unknown);
  if (unknown.connection_ended && !unknown.caller_was_slow) {
    this->RecordEndedExchange(job, false);
    if (!caller_left) co_await this->AwaitCrashVerdict(job);
  }
  if (job.connection.IsDisconnected()) {
    this->RecordOutcome(job, "caller left", 0);
    co_return NextStep::kDone;
  }
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
  this->RecordSurvival(job, response);
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
