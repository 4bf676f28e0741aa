#include "dragonflyglade/decision/config_freshness.h"

#include <algorithm>

namespace dragonflyglade {

ConfigFreshness::ConfigFreshness(absl::Duration bound, Clock clock)
    : bound(bound), clock(clock) {}

void ConfigFreshness::ConfirmedAt(Instant at) {
  absl::MutexLock lock(&this->mutex);
  this->confirmed = std::max(this->confirmed, at);
}

absl::Duration ConfigFreshness::Age() const {
  absl::MutexLock lock(&this->mutex);
  return this->clock.Now() - this->confirmed;
}

// Failure: an instance that lost the key-value service goes on while others
// still have it, and a key withdrawn there still works here. A stale instance
// cannot tell an outage from its own isolation, but every other instance
// passes freshness on by heartbeat: if all that the platform lists are in
// contact and it is still stale, none of them reaches the service. Then no
// withdrawal can be in force anywhere, and serving on is safe. If one of them
// is out of contact, that one may know more, so new work is refused.
ConfigFreshnessState ConfigFreshness::Right(
    const PeerReachability& reach) const {
  const absl::Duration age = this->Age();
  if (age == absl::InfiniteDuration())
    return ConfigFreshnessState::kNeverComplete;
  if (age <= this->bound) return ConfigFreshnessState::kFresh;
  const bool alone = reach.listed_peers == 0;
  const bool whole = reach.reachable_peers >= reach.listed_peers;
  if (!alone && whole) return ConfigFreshnessState::kStoreOutage;
  return ConfigFreshnessState::kCutOff;
}

}  // namespace dragonflyglade
