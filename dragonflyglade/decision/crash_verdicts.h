#ifndef DRAGONFLYGLADE_DECISION_CRASH_VERDICTS_H_
#define DRAGONFLYGLADE_DECISION_CRASH_VERDICTS_H_

#include <cstddef>

#include "absl/time/time.h"
#include "dragonflyglade/decision/crash_account.h"

namespace dragonflyglade {

/// From so many crashes on, a part is suspect.
inline constexpr std::size_t kCrashesToSuspect = 2;
/// From so many crashes on, it may be confirmed.
inline constexpr std::size_t kCrashesToConfirm = 3;
/// So many targets end under one request at most. It is not sent again then.
inline constexpr std::size_t kMaxCrashesOfRequest = 3;

/// What is known about a suspect, since its first crash.
struct CrashEvidence {
  std::size_t counted = 0;  ///< see CrashAccount::Count
  std::size_t crashes = 0;  ///< of the suspect, without an answer on it since
  std::size_t all_crashes = 0;  ///< of all targets
  std::size_t targets = 0;      ///< all that there are
  std::size_t answers = 0;  ///< requests with other parts that were answered
  absl::Duration age;       ///< of the suspect's first crash
  absl::Duration waited;    ///< since there were enough crashes
};

/// How far back the crashes of other targets count as evidence on a suspect.
/// @param age of the suspect's first crash
absl::Duration EvidenceTime(SuspectKind kind, absl::Duration age);

enum class CrashVerdict {
  kCrashesTargets,
  kOpen,       ///< answers have to be awaited
  kNotEnough,  ///< until the suspect's next crash
};

/// Decides whether a part crashes targets: it was in several crashes, in a
/// large part of all crashes meanwhile, and not among many answers. Where
/// targets end one after the other for a reason of their own, a part that many
/// requests share is in some of the crashes, and among the answers of the
/// targets that are left or come back.
CrashVerdict JudgePart(const CrashEvidence& evidence);

/// Decides whether a request is held back: two targets ended under it, and few
/// others meanwhile, or three did. Where many targets end for a reason of their
/// own, some sound requests are at two of them.
CrashVerdict JudgeRequest(const CrashEvidence& evidence);

/// What is known of a request that is held back.
struct HeldRequest {
  std::size_t crashes = 0;  ///< under it
  absl::Duration held_for;  ///< since the last of them was known
  bool was_tried = false;   ///< after it was held back
  /// See CrashAccount::FellTogether.
  bool fell_together = false;
};

/// Whether it is certain that targets crash on the request.
bool IsCertain(const HeldRequest& request);

/// Whether the request may be sent once more, by one instance of all, to find
/// out whether it is sound: an answer ends the suspicion, a crash confirms it.
bool MayTry(const HeldRequest& request);

/// When the caller of a request that is held back should return.
absl::Duration RetryAfterOf(const HeldRequest& request);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CRASH_VERDICTS_H_
