#ifndef DRAGONFLYGLADE_DECISION_CLOCK_H_
#define DRAGONFLYGLADE_DECISION_CLOCK_H_

#include <variant>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace dragonflyglade {

/// A point on a clock that never goes back, as the time since its start.
using Instant = absl::Duration;

/// The machine's monotonic clock.
struct SteadyClock {
  Instant Now() const;
};

/// A clock that moves only when told to, for tests and measurements.
class ManualClock {
 public:
  Instant Now() const;
  /// Moves forward by step, which must not be negative.
  void Advance(absl::Duration step);

 private:
  mutable absl::Mutex mutex;
  Instant now ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
};

/// The clock that a decision reads. A ManualClock must outlive it.
class Clock {
 public:
  explicit Clock(std::variant<SteadyClock, const ManualClock*> source);
  Instant Now() const;

 private:
  std::variant<SteadyClock, const ManualClock*> source;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CLOCK_H_
