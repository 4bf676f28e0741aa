#ifndef DRAGONFLYGLADE_MEASURE_HISTORY_HISTORY_H_
#define DRAGONFLYGLADE_MEASURE_HISTORY_HISTORY_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// An instance admitted a request of a workspace.
struct AdmittedEvent {
  Instant at;
  std::string workspace;
  double tokens = 0;
};
/// A request used fewer tokens than it was charged at admission.
struct UnusedEvent {
  Instant admitted_at;  ///< time of the admission, not of the refund
  std::string workspace;
  double tokens = 0;
};
/// A call that must not run twice ran at a target.
struct RanEvent {
  std::string call;
};
/// A caller received a response that says that its call did not run.
struct ToldNotRunEvent {
  std::string call;
};
/// An instance used this revision of a configuration record.
struct InForceEvent {
  std::string instance;
  std::string key;
  std::int64_t revision = 0;
};
/// A caller received a response.
struct AnswerEvent {
  std::string expected;  ///< the only correct response
  std::string received;
};
/// Memory use of a target at one time.
struct MemoryEvent {
  std::string target;
  std::int64_t used = 0;      ///< bytes
  std::int64_t capacity = 0;  ///< bytes
};

using HistoryEvent =
    std::variant<AdmittedEvent, UnusedEvent, RanEvent, ToldNotRunEvent,
                 InForceEvent, AnswerEvent, MemoryEvent>;

/// Log of events in the order in which they were recorded. Thread-safe.
class History {
 public:
  void Add(HistoryEvent event);
  std::vector<HistoryEvent> Events() const;

 private:
  mutable absl::Mutex mutex;
  std::vector<HistoryEvent> events ABSL_GUARDED_BY(mutex);
};

/// Descriptions of the violations that a check found; empty if there are none.
using Violations = std::vector<std::string>;

/// Checks that in every time window of length t, admitted tokens minus unused
/// ones are at most burst + rate * t.
/// @param rate in tokens per second
/// @param burst in tokens
Violations CheckRateWindows(const std::vector<HistoryEvent>& events,
                            const std::string& workspace, double rate,
                            double burst);
/// Returns the largest number of tokens by which any time window of length t
/// exceeds burst + rate * t; negative if no window does.
double LargestOvershoot(const std::vector<HistoryEvent>& events,
                        const std::string& workspace, double rate,
                        double burst);
/// Checks that no call ran twice, and that no call ran whose caller was told
/// that it did not run.
Violations CheckAtMostOnce(const std::vector<HistoryEvent>& events);
/// Checks that no instance used an older revision of a record after a newer
/// one.
Violations CheckConfigNeverBack(const std::vector<HistoryEvent>& events);
/// Checks that each caller received the complete response to its own request.
Violations CheckOwnAnswers(const std::vector<HistoryEvent>& events);
/// Checks that no target used more memory than it has.
Violations CheckMemory(const std::vector<HistoryEvent>& events);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_HISTORY_HISTORY_H_
