#include "dragonflyglade/decision/config_freshness.h"

#include <algorithm>

namespace dragonflyglade {

ConfigFreshness::ConfigFreshness(absl::Duration bound, Clock clock)
    : bound(bound), clock(clock) {}

void ConfigFreshness::MarkCurrentAt(Instant at) {
  absl::MutexLock lock(&this->mutex);
  this->confirmed = std::max(this->confirmed, at);
}

absl::Duration ConfigFreshness::Age() const {
  absl::MutexLock lock(&this->mutex);
  return this->clock.Now() - this->confirmed;
}

// Failure: an instance that lost the key-value service goes on serving while
// others still reach the service, so a key that was withdrawn there still works
// here. By its own age a stale instance cannot tell an outage of the service
// from its own isolation. But heartbeats pass on how fresh the configuration of
// each instance is: if all instances that the platform lists are reachable and
// this one is still stale, none of them reaches the service. Then no withdrawal
// can have taken effect anywhere, and it is safe to go on serving. If one of
// them is unreachable, it may have a newer configuration, so new work is
// refused.
ConfigFreshnessState ConfigFreshness::StateFor(
    const PeerReachability& reach) const {
  const absl::Duration age = this->Age();
  if (age == absl::InfiniteDuration())
    return ConfigFreshnessState::kNeverComplete;
  if (age <= this->bound) return ConfigFreshnessState::kFresh;
  const bool has_no_peers = reach.listed_peers == 0;
  const bool all_reachable = reach.reachable_peers >= reach.listed_peers;
  if (!has_no_peers && all_reachable) return ConfigFreshnessState::kStoreOutage;
  return ConfigFreshnessState::kPartitioned;
}

}  // namespace dragonflyglade
