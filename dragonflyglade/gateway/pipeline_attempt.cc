// The methods of Pipeline that send a request to one target.
#include "dragonflyglade/gateway/pipeline_attempt.h"

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

std::string Pipeline::TargetRequestHead(const CallerRequest& request,
                                        const ForwardingContext& stamp) const {
  const OutgoingHttpRequest call{
      request.method, request.path_and_query,
      this->wire.target_request_fields(request, stamp), ""};
  const std::size_t body_bytes =
      request.body == nullptr ? 0 : request.body->size();
  return RequestHeadText(call, request.host, body_bytes);
}

asio::awaitable<Pipeline::NextStep> Pipeline::Attempt(
    RequestJob& job, std::shared_ptr<TargetState> target) {
  const Instant now = this->clock.Now();
  if (!job.continues_copy) this->ChooseBackup(job, *target);
  const ForwardingContext stamp =
      MakeForwardingContext(job, target->Record().id, now);
  job.target = stamp.target;
  job.target_version = target->Record().version;
  job.target_born_ms = target->Record().born_ms;
  job.tried.insert(stamp.target);
  std::string head = this->TargetRequestHead(job.request, stamp);
  this->RecordStreamSent(job);
  const std::string address = target->Record().address;
  const TargetPath path = this->ChoosePath(job, *target);
  const auto* tunnel = std::get_if<TunnelPath>(&path);
  TargetExchange exchange(
      this->context, tunnel == nullptr ? target->connections : target->tunnels,
      this->wire, this->clock);
  exchange.UseConnectionsOnce(job.used_connections);
  this->paths.Use(path, *target, exchange);
  this->paths.RecheckBeforeSend(path, *target, exchange);
  CallerBuffers::Receipt receipt(this->caller_buffers,
                                 [&exchange] { exchange.CutOff(); });
  exchange.CountBody(receipt);
  exchange.ObserveSkipped(
      [this, &job](const ResponseHead& head) { this->LogSkipped(job, head); });
  job.exchange = &exchange;
  job.receipt = &receipt;
  job.attempt_started = now;
  job.sent_as = this->HowToSend(job);
  job.attempt_first_output.reset();
  job.survival_recorded = false;
  job.may_crash_next = false;
  job.was_answered = false;
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

}  // namespace dragonflyglade::gateway
