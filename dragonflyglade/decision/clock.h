#ifndef DRAGONFLYGLADE_DECISION_CLOCK_H_
#define DRAGONFLYGLADE_DECISION_CLOCK_H_

#include <variant>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace dragonflyglade {

/// A point in time on a monotonic clock, as the time since the clock's start.
using Instant = absl::Duration;

/// The machine's monotonic clock.
struct SteadyClock {
  Instant Now() const;
};

/// A clock that advances only when Advance is called, for tests and
/// simulations.
class ManualClock {
 public:
  Instant Now() const;
  /// Moves forward by step, which must not be negative.
  void Advance(absl::Duration step);

 private:
  mutable absl::Mutex mutex;
  Instant now ABSL_GUARDED_BY(mutex) = absl::ZeroDuration();
};

/// Reads the steady clock or a ManualClock, which must outlive this object.
class Clock {
 public:
  explicit Clock(std::variant<SteadyClock, const ManualClock*> source);
  Instant Now() const;

 private:
  std::variant<SteadyClock, const ManualClock*> source;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CLOCK_H_
