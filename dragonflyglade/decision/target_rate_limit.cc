#include "dragonflyglade/decision/target_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace dragonflyglade {
namespace {

// The window allows the requests of this many seconds and a few more, and lasts
// as long as the rate takes for all of them. In a longer window more of the
// rate is used, since an instance's requests for a target come irregularly.
constexpr double kWindowSeconds = 4;
constexpr double kFurtherRequests = 3;
// Three requests in half a minute.
constexpr double kLeastRequestsPerSecond = 0.1;
// Above this no limit binds.
constexpr double kMaxRequestsPerSecond = 1e5;

}  // namespace

SendAllowance RateLimitAllowance(double requests_per_second) {
  const double rate = std::clamp(requests_per_second, kLeastRequestsPerSecond,
                                 kMaxRequestsPerSecond);
  const double requests = std::floor(kWindowSeconds * rate + kFurtherRequests);
  return {static_cast<int>(requests), absl::Seconds(requests / rate)};
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
