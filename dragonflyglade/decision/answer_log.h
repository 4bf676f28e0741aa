#ifndef DRAGONFLYGLADE_DECISION_ANSWER_LOG_H_
#define DRAGONFLYGLADE_DECISION_ANSWER_LOG_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/decision/stream_versions.h"

namespace dragonflyglade {

/// What targets answered on lately: parts of prompts, and requests. Not
/// synchronised.
class AnswerLog {
 public:
  explicit AnswerLog(Clock clock);

  /// Counts a request with parts that was answered on.
  void CountAnswer();
  void RecordPart(std::string_view part, const SoftwareVersion& version);
  /// Records that a request was answered. The last two thousand are remembered,
  /// so that a request which many callers send is among them.
  void RecordRequest(std::string_view digest, const SoftwareVersion& version);

  /// The number of answers counted within the time until now, some thousand at
  /// most.
  std::size_t AnswersWithin(absl::Duration time) const;

  /// When targets last answered on the suspect, by their software version.
  /// Complexity: logarithmic for a part, linear in the remembered requests for
  /// a request.
  std::map<SoftwareVersion, Instant> Find(const Suspect& suspect) const;

 private:
  using Key = std::pair<std::string, SoftwareVersion>;
  struct AnsweredRequest {
    std::string digest;
    SoftwareVersion version;
    Instant at;
  };

  std::map<SoftwareVersion, Instant> FindPart(std::string_view part) const;
  std::map<SoftwareVersion, Instant> FindRequest(std::string_view digest) const;

  const Clock clock;
  std::map<Key, Instant> last;
  std::set<std::pair<Instant, Key>> by_age;
  std::deque<Instant> answers;
  std::deque<AnsweredRequest> requests;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_ANSWER_LOG_H_
