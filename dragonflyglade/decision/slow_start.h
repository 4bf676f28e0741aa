#ifndef DRAGONFLYGLADE_DECISION_SLOW_START_H_
#define DRAGONFLYGLADE_DECISION_SLOW_START_H_

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/send_allowance.h"

namespace dragonflyglade {

/// The load that a target takes while it warms up after its start.
struct SlowStartLimit {
  absl::Duration duration = absl::ZeroDuration();  ///< of the warm-up
  /// From all instances together; 0 if targets need no slow start.
  double requests_per_second = 0;
  double overage = 1;  ///< factor on the rate that a single second may reach
  double slack = 0;    ///< further requests that a single second may have

  bool Applies() const { return this->requests_per_second > 0; }
};

/// How many requests all instances together may send to a target that warms up:
/// a good half of what it takes, and at least one.
SendAllowance SlowStartAllowance(const SlowStartLimit& limit);

/// Whether one target warms up. Not synchronised.
class SlowStart {
 public:
  /// The target warms up, for this long from now on. A time that ends before
  /// the known one has no effect.
  void Begin(absl::Duration remaining, Instant now);

  bool IsWarmingUp(Instant now) const { return now < this->warm_at; }

 private:
  Instant warm_at = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_SLOW_START_H_
