// The methods of Pipeline that keep what crashes targets from further targets.
#include <optional>
#include <utility>
#include <variant>

#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/pipeline_attempt.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

constexpr int kFirstServerError = 500;
// A trial that was neither answered nor ended a target is given back.
constexpr absl::Duration kTimeToRelease = absl::Seconds(3);

}  // namespace

// @param may_be_complete whether the answer is complete if the target lives
void Pipeline::RecordEndedExchange(const RequestJob& job,
                                   bool may_be_complete) {
  EndedExchange exchange;
  exchange.request_id = job.request.id;
  exchange.digest = job.digest;
  exchange.sent_as = job.sent_as;
  exchange.shared_parts.assign(job.SharedParts().begin(),
                               job.SharedParts().end());
  exchange.was_beginning = job.IsBeginning(this->clock.Now());
  exchange.may_be_complete = may_be_complete;
  this->crash_detector.RecordEnded(job.TargetProcess(), std::move(exchange));
}

SentAs Pipeline::HowToSend(const RequestJob& job) const {
  if (job.is_trial) return SentAs::kTrial;
  const std::size_t crashes =
      this->crash_suspects.judge.CountOf({SuspectKind::kRequest, job.digest});
  return crashes > 0 ? SentAs::kRepeat : SentAs::kUnsuspected;
}

// The caller may send the request again as soon as it has a response: by then,
// other instances know what this one does.
asio::awaitable<void> Pipeline::AwaitCrashVerdict(RequestJob& job) {
  const TargetCrash process = job.TargetProcess();
  const bool may_retry =
      co_await this->crash_detector.AwaitVerdict(process, job.digest);
  job.may_crash_next = !may_retry;
}

void Pipeline::RecordSurvival(RequestJob& job,
                              const CompleteResponse& response) {
  const int status = response.head.status;
  job.was_answered = status < kFirstServerError;
  if (response.ended_by_close) {
    this->RecordEndedExchange(job, true);
    return;
  }
  CrashJudge& judge = this->crash_suspects.judge;
  if (job.was_answered) judge.RecordSurvival(job.digest, job.target_version);
  if (!IsSuccess(status)) return;
  judge.RecordSurvival(job.SharedParts(), job.target_version);
}

// An end with the connection is one of the target's process, too. A part that
// was answered on for a while is sound, a request at its end.
void Pipeline::RecordStreamSurvival(RequestJob& job,
                                    const StreamReadResult& result) {
  const auto* end = std::get_if<EndOfStream>(&result);
  if (end != nullptr) {
    job.was_answered = true;
    if (end->ended_by_close) {
      this->RecordEndedExchange(job, true);
      return;
    }
    this->crash_suspects.judge.RecordSurvival(job.digest, job.target_version);
  }
  if (job.survival_recorded) return;
  if (end == nullptr && job.IsBeginning(this->clock.Now())) return;
  job.survival_recorded = true;
  this->crash_suspects.judge.RecordSurvival(job.SharedParts(),
                                            job.target_version);
}

// A part that has been answered on for a while is sound.
bool Pipeline::MayCrashNextTarget(const RequestJob& job) const {
  if (job.may_crash_next || job.is_trial) return true;
  return job.IsBeginning(this->clock.Now()) &&
         this->crash_suspects.judge.AnySuspect(job.SharedParts());
}

std::optional<Refusal> Pipeline::CheckSuspects(const RequestJob& job) {
  std::optional<Refusal> refusal = this->CheckParts(job);
  if (!refusal.has_value() && this->IsHeldBack(job)) {
    refusal = this->RefuseHeldBack(job);
  }
  return refusal;
}

std::optional<Refusal> Pipeline::CheckParts(const RequestJob& job) {
  const PromptPart* refused =
      this->crash_suspects.refused.FindPart(job.SharedParts());
  if (refused == nullptr) return std::nullopt;
  this->log.Write("request", "holds a crashing part",
                  {{"id", job.request.id},
                   {"digest", job.digest},
                   {"prompt_part", refused->id},
                   {"attempts", job.attempts}});
  const RefusalCode code = job.executions > 0 ? RefusalCode::kTargetLost
                                              : RefusalCode::kCrashingPart;
  return MakeRefusal(code, "a part of the prompt crashes targets",
                     kRetryAfterCrashingPart);
}

// A request that may show that it is sound goes on, until the claim to do so.
bool Pipeline::IsHeldBack(const RequestJob& job) const {
  const RequestTrials& trials = this->crash_suspects.trials;
  if (job.is_trial || !trials.IsHeld(job.digest)) return false;
  return job.executions > 0 || !trials.MayClaim(job.digest);
}

Refusal Pipeline::RefuseHeldBack(const RequestJob& job) const {
  this->log.Write("request", "has crashed targets",
                  {{"id", job.request.id},
                   {"digest", job.digest},
                   {"attempts", job.attempts}});
  const RefusalCode code = job.executions > 0 ? RefusalCode::kTargetLost
                                              : RefusalCode::kCrashingRequest;
  return MakeRefusal(code, "targets crash on the request",
                     this->crash_suspects.trials.RetryAfter(job.digest));
}

asio::awaitable<std::optional<Refusal>> Pipeline::ClaimTrial(RequestJob& job) {
  RequestTrials& trials = this->crash_suspects.trials;
  if (job.is_trial || !trials.IsHeld(job.digest)) co_return std::nullopt;
  job.is_trial = co_await trials.Claim(job.digest);
  if (job.is_trial) co_return std::nullopt;
  co_return this->RefuseHeldBack(job);
}

void Pipeline::EndTrial(const RequestJob& job) {
  // If the target has crashed, the request is held back for good.
  if (!job.is_trial || job.may_crash_next) return;
  const TargetCrash process = job.TargetProcess();
  if (job.attempts == 0) {
    this->tasks.Spawn("give trial back",
                      this->crash_suspects.trials.Release(job.digest));
    return;
  }
  this->tasks.Spawn("end trial",
                    this->SettleTrial(process, job.digest, job.was_answered));
}

// An answer that ended with its connection may be that of a target that
// crashed.
asio::awaitable<void> Pipeline::SettleTrial(TargetCrash process,
                                            std::string digest,
                                            bool was_answered) {
  const bool lives =
      co_await this->crash_detector.AwaitVerdict(process, digest);
  if (!lives) co_return;
  if (was_answered) {
    co_await this->crash_suspects.refused.Clear(digest, process.version);
    co_return;
  }
  // By then it is known whether a target that seems to live was a new process.
  co_await Sleep(this->context, kTimeToRelease);
  const Suspect request{SuspectKind::kRequest, digest};
  RequestTrials& trials = this->crash_suspects.trials;
  const std::size_t crashes = this->crash_suspects.judge.CountOf(request);
  if (crashes >= kMaxCrashesOfRequest && trials.IsCertain(digest)) co_return;
  co_await trials.Release(digest);
}

}  // namespace dragonflyglade::gateway
