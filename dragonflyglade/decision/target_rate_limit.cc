#include "dragonflyglade/decision/target_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace dragonflyglade {
namespace {

// Long enough that a limit of one request a second can be divided among a few
// instances.
constexpr absl::Duration kWindow = absl::Seconds(4);
// Above this no limit binds.
constexpr double kMaxRequests = 1e6;

}  // namespace

SendAllowance RateLimitAllowance(double requests_per_second) {
  const double window_s = absl::ToDoubleSeconds(kWindow);
  const double requests = requests_per_second * window_s;
  if (requests >= 1) {
    return {static_cast<int>(std::min(requests, kMaxRequests)), kWindow};
  }
  const double max_window_s = absl::ToDoubleSeconds(kMaxSendWindow);
  const bool is_tiny = requests_per_second * max_window_s <= 1;
  return {1, is_tiny ? kMaxSendWindow : absl::Seconds(1 / requests_per_second)};
}

bool TargetRateLimit::Record(std::optional<double> requests_per_second,
                             Instant at) {
  if (this->stated_at.has_value() && at < *this->stated_at) return false;
  this->stated_at = at;
  const bool changed = this->limit != requests_per_second;
  this->limit = requests_per_second;
  if (this->limit.has_value()) this->ever_limited = true;
  return changed;
}

}  // namespace dragonflyglade
