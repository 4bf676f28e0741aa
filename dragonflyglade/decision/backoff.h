#ifndef DRAGONFLYGLADE_DECISION_BACKOFF_H_
#define DRAGONFLYGLADE_DECISION_BACKOFF_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace dragonflyglade {

/// Growing pauses with full jitter between attempts. Not synchronised.
class Backoff {
 public:
  /// @param first the longest first pause
  /// @param longest the longest pause ever
  Backoff(absl::Duration first, absl::Duration longest, std::uint64_t seed);

  /// The pause before the next attempt: uniform in (0, limit], where the
  /// limit doubles with each call.
  absl::Duration Next();

  /// The last attempt succeeded.
  void Reset();

 private:
  const absl::Duration first;
  const absl::Duration longest;
  absl::Duration limit;
  std::mt19937_64 random;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_BACKOFF_H_
