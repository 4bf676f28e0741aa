#ifndef DRAGONFLYGLADE_DECISION_CRASH_ACCOUNT_H_
#define DRAGONFLYGLADE_DECISION_CRASH_ACCOUNT_H_

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
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/stream_versions.h"

namespace dragonflyglade {

enum class SuspectKind {
  kPart,     ///< a part of a prompt
  kRequest,  ///< a whole request, whoever repeats it
};

/// What may crash the targets that it is sent to.
struct Suspect {
  SuspectKind kind = SuspectKind::kPart;
  std::string id;  ///< of the part, or the request's digest

  bool operator<(const Suspect& other) const {
    return std::tie(this->kind, this->id) < std::tie(other.kind, other.id);
  }
};

/// What the instance that sent a request to a target knew of it. If a target
/// had it several times, the last of these that fits.
enum class SentAs {
  kRepeat,       ///< a crash under it
  kUnsuspected,  ///< no crash under it
  kTrial,        ///< that it is held back: it was sent to show that it is sound
};

/// A target's process that ended while it ran requests.
struct TargetCrash {
  std::string target;        ///< id
  std::int64_t born_ms = 0;  ///< start time of the process
  SoftwareVersion version;   ///< of the target's software

  bool IsSameProcess(const TargetCrash& other) const {
    return this->target == other.target && this->born_ms == other.born_ms;
  }
};

/// The evidence that parts of prompts, or requests, crash targets. A suspect
/// that a target answered on loses the crashes before that at targets of the
/// same software version; what else the requests held does not matter. Not
/// synchronised.
///
/// Answers the load of requests that hold one such part, while requests with
/// the same caller and the same other parts are sound, and of one request that
/// its caller sends again and again. Forgets the suspects with the fewest
/// crashes first.
class CrashAccount {
 public:
  struct Crash {
    TargetCrash crash;
    Instant at;
    SentAs sent_as = SentAs::kRepeat;
  };

  explicit CrashAccount(Clock clock);

  /// Whether these crashes may be one failure: three targets or more had the
  /// request before its senders knew of a crash under it, and no trial ended
  /// one.
  static bool FellTogether(absl::Span<const Crash> crashes);

  /// Records that a target crashed when it may have been about to answer on the
  /// suspect. Repeated records of one crash count once.
  void RecordCrash(const Suspect& suspect, const TargetCrash& crash);
  void RecordCrash(const Suspect& suspect, const TargetCrash& crash, Instant at,
                   SentAs sent_as = SentAs::kRepeat);

  /// Records that a target of the version answered on the suspect.
  void RecordSurvival(const Suspect& suspect, const SoftwareVersion& version,
                      Instant at);

  /// The number of crashes that count. Of a part, targets that crash at the
  /// same moment may have one cause, and count once. A request is at one target
  /// at a time.
  std::size_t Count(const Suspect& suspect) const;

  /// All crashes of the suspect, the oldest first.
  std::vector<Crash> CrashesOf(const Suspect& suspect) const;

  /// Time since the suspect's first crash; zero if there is none.
  absl::Duration AgeOf(const Suspect& suspect) const;

  void Forget(const Suspect& suspect);

 private:
  using Crashes = std::vector<Crash>;
  /// The suspects to forget first have the lowest rank.
  using Rank = std::tuple<std::size_t, Instant, Suspect>;

  static Rank RankOf(const Suspect& suspect, const Crashes& crashes);
  void Replace(const Suspect& suspect, Crashes crashes);
  void ForgetOld();

  const Clock clock;
  std::map<Suspect, Crashes> by_suspect;
  std::set<Rank> ranks;
};

/// The crashes of targets that one instance has seen, or was told of, lately.
/// Not synchronised.
class RecentCrashes {
 public:
  explicit RecentCrashes(Clock clock);

  /// Repeated records of one crash count once.
  void Record(const TargetCrash& crash);

  /// The crashes within the time until now.
  std::vector<TargetCrash> Within(absl::Duration time) const;

 private:
  using Process = std::pair<std::string, std::int64_t>;  ///< id, born_ms

  const Clock clock;
  std::deque<std::pair<Instant, TargetCrash>> crashes;
  std::set<Process> known;  ///< those of the crashes
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CRASH_ACCOUNT_H_
