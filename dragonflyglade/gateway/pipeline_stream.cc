// The methods of Pipeline that forward streams of events, and choose where a
// stream may go on.
#include <algorithm>
#include <utility>
#include <variant>

#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/pipeline_attempt.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// A caller may take a stream up again when its route's timeout is over.
constexpr int kTimeoutsPerStream = 2;
// An event is kept until it is complete.
constexpr std::size_t kMaxEventBytes = 1u << 20;
// A target that cannot send for longer than this may cut the response off.
constexpr absl::Duration kSlowWriteTime = absl::Seconds(1);

bool TakesUpStream(const RequestJob& job) {
  return job.route->resumable && job.request.resume_after.has_value();
}

StreamQuery QueryFor(const RequestJob& job) {
  StreamQuery query;
  query.request_id = job.request.id;
  query.stream =
      TakesUpStream(job) ? job.request.taken_up_stream : job.request.id;
  query.service = job.service->name;
  query.lifetime =
      std::min(kTimeoutsPerStream * job.route->timeout, kMaxStreamLifetime);
  return query;
}

}  // namespace

// Versions of the targets' software do not understand each other's streams, and
// targets do not check it: the caller would get events that do not belong
// together.
asio::awaitable<std::optional<Refusal>> Pipeline::FindStreamOrigin(
    RequestJob& job) {
  if (!TakesUpStream(job)) co_return std::nullopt;
  const ContinuationDecision decision =
      co_await this->stream_origins.Decide(QueryFor(job));
  if (std::holds_alternative<UnknownVersion>(decision)) {
    co_return MakeRefusal(RefusalCode::kStreamOriginUnknown,
                          "it is not known which targets can go on",
                          kRetryAfterStreamOrigin);
  }
  if (const auto* only = std::get_if<OnlyVersion>(&decision)) {
    job.origin = only->origin;
  }
  if (!this->HasTargetOfStreamVersion(job))
    co_return this->NoTargetRefusal(job);
  co_return std::nullopt;
}

// Other instances know it before the caller gets the first event.
void Pipeline::RecordStreamSent(RequestJob& job) {
  if (!job.route->resumable) return;
  const StreamOrigin origin = job.origin.value_or(
      StreamOrigin{job.target_version, job.attempts + job.not_sent + 1});
  this->stream_origins.RecordSent(QueryFor(job), origin);
}

bool Pipeline::HasTargetOfStreamVersion(const RequestJob& job) const {
  if (!job.origin.has_value()) return true;
  const auto targets = this->fleet.Targets(job.service->name);
  return std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
    return !target->IsLeaving() && job.MayUse(target->Record());
  });
}

void Pipeline::RecordPauses(const RequestJob& job) {
  if (!job.NeedsModel()) return;
  this->metrics.Observe("longest_pause_seconds", "",
                        absl::ToDoubleSeconds(job.longest_pause));
  this->pacing[job.service->name].RecordStream(job.longest_pause,
                                               job.route->event_gap_objective);
}

// No other response can follow on this connection. Closing it without the last
// chunk tells the caller that the stream is incomplete.
void Pipeline::AbortStream(RequestJob& job) {
  this->RecordOutcome(job, "stream broken", 0);
  job.connection.Abort("stream broken");
}

asio::awaitable<Pipeline::NextStep> Pipeline::RelayStream(
    RequestJob& job, TargetState& target, TargetExchange& exchange,
    const ResponseHead& head) {
  this->RecordResponseHead(target, head);
  if (!IsSuccess(head.status) || !head.is_signed || head.encoded) {
    const OutcomeUnknown unknown{
        "stream is not signed, is encoded or has an error status"};
    co_return co_await this->AfterOutcomeUnknown(job, target, unknown);
  }
  while (true) {
    this->LimitSilence(job, exchange);
    const StreamReadResult result = co_await exchange.Read();
    if (const auto* unknown = std::get_if<OutcomeUnknown>(&result)) {
      OutcomeUnknown broken = *unknown;
      broken.caller_was_slow = job.connection.LastWriteTime() >= kSlowWriteTime;
      co_return co_await this->AfterOutcomeUnknown(job, target, broken);
    }
    if (job.uses_own_path) this->paths.RecordReceived(job.service->name);
    const bool ended = std::holds_alternative<EndOfStream>(result);
    const std::string_view events =
        ended ? std::string_view()
              : job.events.Add(std::get<StreamBytes>(result).bytes);
    job.receipt->Resize(job.events.PartialBytes());
    if (job.events.BytesWithoutEvent() > kMaxEventBytes) {
      exchange.Abort("no event in many bytes");
      const OutcomeUnknown broken{"no event in many bytes"};
      co_return co_await this->AfterOutcomeUnknown(job, target, broken);
    }
    if (job.events.OutOfOrder() || (ended && job.events.HasPartial())) {
      exchange.Abort("stream events out of order or incomplete");
      OutcomeUnknown broken{"stream events out of order or incomplete"};
      broken.connection_ended = ended;
      co_return co_await this->AfterOutcomeUnknown(job, target, broken);
    }
    if (!events.empty() && !job.origin.has_value()) {
      job.origin =
          StreamOrigin{job.target_version, job.attempts + job.not_sent};
    }
    const bool written = co_await this->RelayEvents(job, head, events, ended);
    this->RecordStreamSurvival(job, result);
    if (!written) {
      exchange.Abort("caller left");
      this->RecordOutcome(job, "caller left", head.status);
      co_return NextStep::kDone;
    }
    if (!ended) continue;
    this->EndCopy(job, true);
    target.RecordResult(TargetResult::kSuccess, this->clock.Now());
    this->RecordPauses(job);
    this->RecordOutcome(job, "answered", head.status);
    co_return NextStep::kDone;
  }
}

asio::awaitable<bool> Pipeline::RelayEvents(RequestJob& job,
                                            const ResponseHead& head,
                                            std::string_view events,
                                            bool ended) {
  if (!events.empty()) job.RecordOutput(this->clock.Now());
  bool written = !job.connection.IsDisconnected();
  if (!job.connection.StreamStarted() && (!events.empty() || ended)) {
    written = co_await job.connection.BeginStream(
        head.status, head.forwarded_fields, events);
  } else if (!events.empty()) {
    written = co_await job.connection.WritePart(events);
  }
  if (written && ended) written = co_await job.connection.EndStream();
  co_return written;
}

}  // namespace dragonflyglade::gateway
