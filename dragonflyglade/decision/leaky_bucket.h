#ifndef DRAGONFLYGLADE_DECISION_LEAKY_BUCKET_H_
#define DRAGONFLYGLADE_DECISION_LEAKY_BUCKET_H_

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// An amount that additions increase and that drains at a constant rate.
/// Estimates the backlog where no completion is reported. Not synchronised.
class LeakyBucket {
 public:
  /// @param drained_per_ms amount that drains in a millisecond
  explicit LeakyBucket(double drained_per_ms)
      : drained_per_ms(drained_per_ms) {}

  void Add(double amount, Instant now);

  /// The amount that has not drained yet.
  double Level(Instant now) const;

 private:
  double drained_per_ms;
  double amount = 0;
  Instant updated;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_LEAKY_BUCKET_H_
