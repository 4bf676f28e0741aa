#ifndef DRAGONFLYGLADE_DECISION_LEAKY_BUCKET_H_
#define DRAGONFLYGLADE_DECISION_LEAKY_BUCKET_H_

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// An amount that grows when something is added and drains at a steady rate:
/// work that waits where nobody tells when it is done. Not synchronised.
class LeakyBucket {
 public:
  /// @param per_ms what drains in a millisecond
  explicit LeakyBucket(double per_ms) : per_ms(per_ms) {}

  void Add(double amount, Instant now);

  /// What has not drained yet.
  double Level(Instant now) const;

 private:
  double per_ms;
  double amount = 0;
  Instant at;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_LEAKY_BUCKET_H_
