#ifndef DRAGONFLYGLADE_DECISION_TARGET_REST_H_
#define DRAGONFLYGLADE_DECISION_TARGET_REST_H_

#include <optional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The time for which one target wants no requests from this instance, as it
/// asked when it turned a request away. Not synchronised.
///
/// Load: a target that has too much of it. While it rests nothing is sent to
/// it; afterwards the requests in flight there grow step by step, so that the
/// requests that had to wait do not overload it again.
class TargetRest {
 public:
  /// Records that the target asked for rest. A rest that ends before the known
  /// one has no effect.
  /// @param time from the answer on
  /// @param at when the target answered
  /// @return whether the target rests longer than was known
  bool Record(absl::Duration time, Instant at);

  bool IsResting(Instant now) const { return now < this->end; }
  /// How long the target goes on resting; zero if it does not rest.
  absl::Duration Remaining(Instant now) const;

  /// The most requests that this instance may have in flight at the target.
  /// @param share this instance's share of the target's slots
  /// @return nothing if no rest ended lately
  std::optional<int> MaxInFlight(double share, Instant now) const;

 private:
  Instant end = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_REST_H_
