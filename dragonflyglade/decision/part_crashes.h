#ifndef DRAGONFLYGLADE_DECISION_PART_CRASHES_H_
#define DRAGONFLYGLADE_DECISION_PART_CRASHES_H_

#include <cstddef>
#include <cstdint>
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

/// So many crashes of a part, with no answer on it in between, show that it
/// crashes targets.
inline constexpr std::size_t kCrashesToConfirm = 3;
/// From so many crashes on, a part is suspect.
inline constexpr std::size_t kCrashesToSuspect = 2;

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

/// The parts of prompts that targets answered on lately. Not synchronised.
class SurvivedParts {
 public:
  explicit SurvivedParts(Clock clock);

  void Record(std::string_view part, const SoftwareVersion& version);

  /// When targets last answered on the part, by their software version.
  std::map<SoftwareVersion, Instant> Find(std::string_view part) const;

 private:
  using Key = std::pair<std::string, SoftwareVersion>;

  const Clock clock;
  std::map<Key, Instant> last;
  std::set<std::pair<Instant, Key>> by_age;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PART_CRASHES_H_
