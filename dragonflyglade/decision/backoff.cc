#include "dragonflyglade/decision/backoff.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace dragonflyglade {

Backoff::Backoff(absl::Duration initial_limit, absl::Duration max_limit,
                 std::uint64_t seed)
    : initial_limit(initial_limit),
      max_limit(max_limit),
      limit(initial_limit),
      random(seed) {}

absl::Duration Backoff::NextDelay() {
  const double fraction =
      absl::Uniform(absl::IntervalOpenClosed, this->random, 0.0, 1.0);
  const absl::Duration delay = fraction * this->limit;
  this->limit = std::min(this->limit * 2, this->max_limit);
  return delay;
}

void Backoff::Reset() { this->limit = this->initial_limit; }

}  // namespace dragonflyglade
