#ifndef DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_
#define DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_

#include <deque>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// How many loads the weight store takes.
struct ModelLoadLimiterOptions {
  absl::Duration window = absl::Seconds(5);
  double overage = 1;  ///< times the rate in a window
  /// A holder's orders come at least this long after those of the one before.
  absl::Duration leader_handover_delay = absl::Seconds(3);
};

/// Keeps the loads that begin in any window below what the weight store
/// allows, also while the duty of placing passes on. Not synchronised.
///
/// A new holder does not know what the one before began. Of a window that is
/// longer than the quiet time between them, the first part is the other's. So
/// no holder begins more than half of a window's loads within a time of that
/// length, and each new one takes that half as used.
class ModelLoadLimiter {
 public:
  ModelLoadLimiter(ModelLoadLimiterOptions options, Clock clock);

  /// The duty was just taken over; orders may go out from now on.
  void OnLeadershipAcquired(double loads_per_second);

  /// A load begins, or may begin.
  void RecordLoadStart();

  /// How many may begin now.
  int Left(double loads_per_second);

 private:
  int Allowed(double loads_per_second) const;
  int Since(absl::Duration span) const;

  const ModelLoadLimiterOptions options;
  const Clock clock;
  std::deque<Instant> begun;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_
