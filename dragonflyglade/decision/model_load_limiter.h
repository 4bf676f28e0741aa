#ifndef DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_
#define DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_

#include <deque>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// How many model loads the weight store accepts.
struct ModelLoadLimiterOptions {
  absl::Duration window = absl::Seconds(5);
  double overage = 1;  ///< factor on the rate over a window
  /// Least time between the last order of one leader and the first of the next.
  absl::Duration leader_handover_delay = absl::Seconds(3);
};

/// Limits how many model loads begin in any window to what the weight store
/// allows, also across a change of leader. Not synchronised.
///
/// A new leader does not know which loads its predecessor began. A window is
/// longer than the handover delay between them by some remainder, and the
/// predecessor may have begun loads in that remainder. So no leader begins more
/// than half of a window's loads within a time as long as the remainder, and
/// each new leader counts that half as begun already.
class ModelLoadLimiter {
 public:
  ModelLoadLimiter(ModelLoadLimiterOptions options, Clock clock);

  /// To be called when this instance has become leader and may give orders.
  void OnLeadershipAcquired(double loads_per_second);

  /// Counts a load that begins or may have begun.
  void RecordLoadStart();

  /// How many loads may begin now.
  int RemainingLoads(double loads_per_second);

 private:
  int AllowedPerWindow(double loads_per_second) const;
  int CountSince(absl::Duration span) const;

  const ModelLoadLimiterOptions options;
  const Clock clock;
  std::deque<Instant> begun;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_
