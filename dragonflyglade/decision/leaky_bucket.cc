#include "dragonflyglade/decision/leaky_bucket.h"

#include <algorithm>

namespace dragonflyglade {

void LeakyBucket::Add(double amount, Instant now) {
  this->amount = this->Level(now) + amount;
  this->at = now;
}

double LeakyBucket::Level(Instant now) const {
  const double drained =
      this->per_ms * absl::ToDoubleMilliseconds(now - this->at);
  return std::max(0.0, this->amount - drained);
}

}  // namespace dragonflyglade
