#include "dragonflyglade/decision/leaky_bucket.h"

#include <algorithm>

namespace dragonflyglade {

void LeakyBucket::Add(double amount, Instant now) {
  this->amount = this->Level(now) + amount;
  this->updated = now;
}

double LeakyBucket::Level(Instant now) const {
  const double drained =
      this->drained_per_ms * absl::ToDoubleMilliseconds(now - this->updated);
  return std::max(0.0, this->amount - drained);
}

}  // namespace dragonflyglade
