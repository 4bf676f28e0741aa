#ifndef DRAGONFLYGLADE_MEASURE_HISTORY_HISTORY_H_
#define DRAGONFLYGLADE_MEASURE_HISTORY_HISTORY_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// A request was admitted for a workspace at some instance.
struct AdmittedEvent {
  Instant at;
  std::string workspace;
  double tokens = 0;
};
/// Tokens of an admission turned out not to be used.
struct UnusedEvent {
  Instant admitted_at;
  std::string workspace;
  double tokens = 0;
};
/// A call that may not be repeated ran at a target.
struct RanEvent {
  std::string call;
};
/// A caller was told that its call certainly did not run.
struct ToldNotRunEvent {
  std::string call;
};
/// An instance had a record in force.
struct InForceEvent {
  std::string instance;
  std::string key;
  std::int64_t revision = 0;
};
/// A caller got an answer.
struct AnswerEvent {
  std::string expected;  ///< the only right answer
  std::string received;
};
/// A target had this much in memory.
struct MemoryEvent {
  std::string target;
  std::int64_t used = 0;
  std::int64_t capacity = 0;
};

using HistoryEvent =
    std::variant<AdmittedEvent, UnusedEvent, RanEvent, ToldNotRunEvent,
                 InForceEvent, AnswerEvent, MemoryEvent>;

/// What happened, in the order in which it was recorded. Thread-safe.
class History {
 public:
  void Add(HistoryEvent event);
  std::vector<HistoryEvent> Events() const;

 private:
  mutable absl::Mutex mutex;
  std::vector<HistoryEvent> events ABSL_GUARDED_BY(mutex);
};

/// What a rule found; empty if the history keeps it.
using Violations = std::vector<std::string>;

/// No window of any length t holds more than burst + rate * t tokens, net of
/// what was not used.
Violations CheckRateWindows(const std::vector<HistoryEvent>& events,
                            const std::string& workspace, double rate,
                            double burst);
/// The most by which any window was above burst + rate * t; negative if none.
double LargestOvershoot(const std::vector<HistoryEvent>& events,
                        const std::string& workspace, double rate,
                        double burst);
/// No call ran twice, and none ran whose caller was told "not run".
Violations CheckAtMostOnce(const std::vector<HistoryEvent>& events);
/// No instance had an older revision in force after a newer one.
Violations CheckConfigNeverBack(const std::vector<HistoryEvent>& events);
/// Each caller got the whole answer to its own request.
Violations CheckOwnAnswers(const std::vector<HistoryEvent>& events);
/// No target held more than its memory.
Violations CheckMemory(const std::vector<HistoryEvent>& events);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_HISTORY_HISTORY_H_
