#ifndef DRAGONFLYGLADE_DECISION_BACKOFF_H_
#define DRAGONFLYGLADE_DECISION_BACKOFF_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace dragonflyglade {

/// Exponential backoff with full jitter. Not thread-safe.
class Backoff {
 public:
  /// @param initial_limit upper limit of the first delay
  /// @param max_limit upper limit of every delay
  Backoff(absl::Duration initial_limit, absl::Duration max_limit,
          std::uint64_t seed);

  /// The delay before the next attempt, uniform in (0, limit]. The limit
  /// doubles with each call up to max_limit.
  absl::Duration NextDelay();

  /// Resets the limit to initial_limit after an attempt succeeded.
  void Reset();

 private:
  const absl::Duration initial_limit;
  const absl::Duration max_limit;
  absl::Duration limit;
  std::mt19937_64 random;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_BACKOFF_H_
