#include "dragonflyglade/decision/crash_verdicts.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Two parts that crash targets at the same time have half of the crashes each.
constexpr double kMinCrashShare = 0.4;
// By then, a sound part that many requests share was answered on.
constexpr absl::Duration kAnsweredWithin = absl::Seconds(5);
// A sound part of a fifth of the requests is among so many answers.
constexpr std::size_t kAnswersToCompare = 20;
constexpr std::size_t kAnswersAmidFailures = 100;
// There may be no other requests.
constexpr absl::Duration kMaxAnswerWait = absl::Seconds(2);
constexpr std::size_t kCertainCrashes = 5;
// A failure of many targets, under way before it reached those of a request,
// shows within this time.
constexpr absl::Duration kFailureTime = absl::Seconds(10);
// By then all instances know that the request is held back, and a failure of
// many targets has shown itself.
constexpr absl::Duration kTimeToTrial = absl::Milliseconds(1500);
// Other instances may have come to know it that much later.
constexpr absl::Duration kReturnMargin = absl::Milliseconds(400);
// The request will not be served.
constexpr absl::Duration kRetryAfterCrashes = absl::Seconds(60);

bool IsInFew(const CrashEvidence& evidence) {
  return static_cast<double>(evidence.crashes) <
         kMinCrashShare * static_cast<double>(evidence.all_crashes);
}

}  // namespace

absl::Duration EvidenceTime(SuspectKind kind, absl::Duration age) {
  return kind == SuspectKind::kRequest ? age + kFailureTime : age;
}

CrashVerdict JudgePart(const CrashEvidence& evidence) {
  if (evidence.counted < kCrashesToConfirm) return CrashVerdict::kNotEnough;
  if (IsInFew(evidence) && evidence.age < kAnsweredWithin) {
    return CrashVerdict::kNotEnough;
  }
  const bool most_failed = 2 * evidence.all_crashes > evidence.targets;
  const std::size_t needed =
      most_failed ? kAnswersAmidFailures : kAnswersToCompare;
  if (evidence.answers >= needed) return CrashVerdict::kCrashesTargets;
  if (evidence.waited < kMaxAnswerWait) return CrashVerdict::kOpen;
  const bool certain = evidence.crashes >= kCertainCrashes &&
                       evidence.counted > kCrashesToConfirm;
  return certain ? CrashVerdict::kCrashesTargets : CrashVerdict::kNotEnough;
}

CrashVerdict JudgeRequest(const CrashEvidence& evidence) {
  if (evidence.counted >= kMaxCrashesOfRequest) {
    return CrashVerdict::kCrashesTargets;
  }
  const bool is_held =
      evidence.counted >= kCrashesToSuspect && !IsInFew(evidence);
  return is_held ? CrashVerdict::kCrashesTargets : CrashVerdict::kNotEnough;
}

// Failure: many callers send the same sound request, all targets of its service
// lose power at once, and each had it in progress. Nobody could show that it is
// sound if it were not tried.
bool IsCertain(const HeldRequest& request) {
  return request.crashes >= kMaxCrashesOfRequest && !request.fell_together;
}

bool MayTry(const HeldRequest& request) {
  return !IsCertain(request) && !request.was_tried &&
         request.held_for >= kTimeToTrial;
}

absl::Duration RetryAfterOf(const HeldRequest& request) {
  if (IsCertain(request) || request.was_tried) {
    return kRetryAfterCrashes;
  }
  return std::max(kTimeToTrial - request.held_for, absl::ZeroDuration()) +
         kReturnMargin;
}

}  // namespace dragonflyglade
