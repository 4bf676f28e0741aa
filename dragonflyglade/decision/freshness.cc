#include "dragonflyglade/decision/freshness.h"

#include <algorithm>

namespace dragonflyglade {

Freshness::Freshness(absl::Duration bound, Clock clock)
    : bound(bound), clock(clock) {}

void Freshness::ConfirmedAt(Instant at) {
  absl::MutexLock lock(&this->mutex);
  this->confirmed = std::max(this->confirmed, at);
}

absl::Duration Freshness::Age() const {
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
AdmissionRight Freshness::Right(const Reach& reach) const {
  const absl::Duration age = this->Age();
  if (age == absl::InfiniteDuration()) return AdmissionRight::kNeverReady;
  if (age <= this->bound) return AdmissionRight::kFresh;
  const bool alone = reach.listed_others == 0;
  const bool whole = reach.reachable_others >= reach.listed_others;
  if (!alone && whole) return AdmissionRight::kOutage;
  return AdmissionRight::kCutOff;
}

}  // namespace dragonflyglade
