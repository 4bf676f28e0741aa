#include "dragonflyglade/decision/backoff.h"

#include <algorithm>

#include "absl/random/distributions.h"

namespace dragonflyglade {

Backoff::Backoff(absl::Duration first, absl::Duration longest,
                 std::uint64_t seed)
    : first(first), longest(longest), limit(first), random(seed) {}

absl::Duration Backoff::Next() {
  const double part =
      absl::Uniform(absl::IntervalOpenClosed, this->random, 0.0, 1.0);
  const absl::Duration pause = part * this->limit;
  this->limit = std::min(this->limit * 2, this->longest);
  return pause;
}

void Backoff::Reset() { this->limit = this->first; }

}  // namespace dragonflyglade
