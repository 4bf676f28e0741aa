#include "dragonflyglade/decision/slow_start.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Share of a target's limit that its senders use. While the list of instances
// changes, some instances still go by the older list, and the senders of both
// lists add up.
constexpr double kUsedShare = 0.6;
// A second, and the time by which a request may be delayed between the decision
// to send it and its arrival.
constexpr absl::Duration kWindow = absl::Milliseconds(1100);
// Above this the limit does not bind: a target takes less when it is warm.
constexpr double kMaxRequests = 1e6;

}  // namespace

// Failure: a target that has just started crashes, because every instance sends
// it as much as before its start. Its callers see streams that break off, and
// the target starts again, so that the crash repeats. Each instance keeping to
// its own part is enough, as the parts add up to less than the limit.
SendAllowance SlowStartAllowance(const SlowStartLimit& limit) {
  const double most = limit.requests_per_second * limit.overage + limit.slack;
  return {static_cast<int>(std::clamp(kUsedShare * most, 1.0, kMaxRequests)),
          kWindow};
}

void SlowStart::Begin(absl::Duration remaining, Instant now) {
  this->warm_at = std::max(this->warm_at, now + remaining);
}

}  // namespace dragonflyglade
