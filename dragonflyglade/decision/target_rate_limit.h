#ifndef DRAGONFLYGLADE_DECISION_TARGET_RATE_LIMIT_H_
#define DRAGONFLYGLADE_DECISION_TARGET_RATE_LIMIT_H_

#include <optional>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/send_allowance.h"

namespace dragonflyglade {

/// How many requests all instances together may send to a target that states
/// the rate it takes. A few are allowed whatever the rate is: only a response
/// can tell that the limit has ended.
/// @param requests_per_second not negative
SendAllowance RateLimitAllowance(double requests_per_second);

/// The newest statement of one target on the rate of requests that it takes
/// from all instances together, from its responses to this instance and to
/// others. Not synchronised.
class TargetRateLimit {
 public:
  /// Records a statement. One that is older than the known one has no effect.
  /// @param requests_per_second nothing if the target states no limit
  /// @param at when the target responded
  /// @return whether the limit changed
  bool Record(std::optional<double> requests_per_second, Instant at);

  /// The limit in requests per second; nothing if there is none.
  std::optional<double> Limit() const { return this->limit; }
  /// Whether the target has stated a limit since its process started.
  bool EverLimited() const { return this->ever_limited; }
  /// When the target made the statement; nothing if it made none.
  std::optional<Instant> StatedAt() const { return this->stated_at; }

 private:
  std::optional<double> limit;
  bool ever_limited = false;
  std::optional<Instant> stated_at;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_RATE_LIMIT_H_
