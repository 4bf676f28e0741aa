#ifndef DRAGONFLYGLADE_DECISION_PART_CRASHES_H_
#define DRAGONFLYGLADE_DECISION_PART_CRASHES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/stream_versions.h"

namespace dragonflyglade {

/// A target's process that ended while it ran requests.
struct TargetCrash {
  std::string target;        ///< id
  std::int64_t born_ms = 0;  ///< start time of the process
  SoftwareVersion version;   ///< of the target's software
};

/// From so many crashes on, a part is suspect.
inline constexpr std::size_t kCrashesToSuspect = 2;
/// From so many crashes on, it may be confirmed.
inline constexpr std::size_t kCrashesToConfirm = 3;

/// What is known about a part that is suspect, since its first crash.
struct PartEvidence {
  std::size_t counted = 0;      ///< see PartCrashes::Count
  std::size_t crashes = 0;      ///< of the part, without an answer on it since
  std::size_t all_crashes = 0;  ///< of all targets
  std::size_t targets = 0;      ///< all that there are
  std::size_t answers = 0;  ///< requests with other parts that were answered
  absl::Duration age;       ///< of the part's first crash
  absl::Duration waited;    ///< since there were enough crashes
};

enum class PartVerdict {
  kCrashesTargets,
  kOpen,       ///< answers have to be awaited
  kNotEnough,  ///< until the part's next crash
};

/// Decides whether a part crashes targets: it was in several crashes, in a
/// large part of all crashes meanwhile, and not among many answers. Where
/// targets end one after the other for a reason of their own, a part that many
/// requests share is in some of the crashes, and among the answers of the
/// targets that are left or come back.
PartVerdict JudgePart(const PartEvidence& evidence);

/// The evidence that parts of prompts crash targets. A part that a target
/// answered on loses the crashes before that at targets of the same software
/// version; what else the requests held does not matter. Not synchronised.
///
/// Answers the load of requests that hold one such part, while requests with
/// the same caller and the same other parts are sound. Forgets the parts with
/// the fewest crashes first.
class PartCrashes {
 public:
  struct Crash {
    TargetCrash crash;
    Instant at;
  };

  explicit PartCrashes(Clock clock);

  /// Records that a target crashed when it may have begun to answer a request
  /// with the part. Repeated records of one crash count once.
  void RecordCrash(std::string_view part, const TargetCrash& crash);

  /// Records that a target of the version answered on the part.
  void RecordSurvival(std::string_view part, const SoftwareVersion& version,
                      Instant at);

  /// The number of crashes that count. Targets that crash at the same moment
  /// may have one cause, and count once.
  std::size_t Count(std::string_view part) const;

  /// All crashes of the part, the oldest first.
  std::vector<Crash> CrashesOf(std::string_view part) const;

  void Forget(std::string_view part);

 private:
  using Crashes = std::vector<Crash>;
  /// The parts to forget first have the lowest rank.
  using Rank = std::tuple<std::size_t, Instant, std::string>;

  static Rank RankOf(std::string_view part, const Crashes& crashes);
  void Replace(std::string_view part, Crashes crashes);
  void ForgetOld();

  const Clock clock;
  std::map<std::string, Crashes, std::less<>> by_part;
  std::set<Rank> ranks;
};

/// The crashes of targets that one instance has seen lately. Not synchronised.
class RecentCrashes {
 public:
  explicit RecentCrashes(Clock clock);

  void Record(const TargetCrash& crash);

  /// The crashes within the time until now.
  std::vector<TargetCrash> Within(absl::Duration time) const;

 private:
  const Clock clock;
  std::deque<std::pair<Instant, TargetCrash>> crashes;
};

/// The parts of prompts that targets answered on lately. Not synchronised.
class SurvivedParts {
 public:
  explicit SurvivedParts(Clock clock);

  /// Counts a request that was answered on.
  void RecordAnswer();
  void Record(std::string_view part, const SoftwareVersion& version);

  /// The number of answers within the time until now, some thousand at most.
  std::size_t AnswersWithin(absl::Duration time) const;

  /// When targets last answered on the part, by their software version.
  std::map<SoftwareVersion, Instant> Find(std::string_view part) const;

 private:
  using Key = std::pair<std::string, SoftwareVersion>;

  const Clock clock;
  std::map<Key, Instant> last;
  std::set<std::pair<Instant, Key>> by_age;
  std::deque<Instant> answers;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PART_CRASHES_H_
