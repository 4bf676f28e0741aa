#include "dragonflyglade/decision/store_availability.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// An entry expires after three heartbeats of silence, and the last one before
// an outage may be one interval old when it begins.
constexpr int kHeartbeatsOfShortestOutage = 2;
// An instance whose relay ends has no response for this long, though the store
// is sound: a relay's digest counts for a while, and a read follows.
constexpr absl::Duration kLongestSoundGap = absl::Seconds(2);
// Running targets register again within two seconds after the store recovers.
// The rest is the time in which their entries arrive here.
constexpr absl::Duration kReregistrationTime = absl::Milliseconds(2500);

}  // namespace

StoreAvailability::StoreAvailability(absl::Duration heartbeat)
    : shortest_outage(std::max(kHeartbeatsOfShortestOutage * heartbeat,
                               kLongestSoundGap)) {}

void StoreAvailability::RecordUptime(StoreUptime seen) {
  if (seen.since > seen.through) return;
  if (!this->uptime.has_value()) {
    this->uptime = seen;
    return;
  }
  const bool after_outage =
      seen.since - this->uptime->through >= this->shortest_outage;
  if (after_outage) {
    this->previous_response = this->uptime->through;
    this->uptime = seen;
    return;
  }
  const bool before_outage =
      this->uptime->since - seen.through >= this->shortest_outage;
  if (before_outage) {
    if (this->previous_response.has_value()) {
      this->previous_response =
          std::max(*this->previous_response, seen.through);
    }
    return;
  }
  this->uptime->since = std::min(this->uptime->since, seen.since);
  this->uptime->through = std::max(this->uptime->through, seen.through);
}

std::optional<StoreOutage> StoreAvailability::LastOutage() const {
  if (!this->previous_response.has_value()) return std::nullopt;
  const Instant end = this->uptime->since;
  if (end - *this->previous_response < this->shortest_outage)
    return std::nullopt;
  return StoreOutage{*this->previous_response, end};
}

bool StoreAvailability::MayLackEntries(Instant now) const {
  const std::optional<StoreOutage> outage = this->LastOutage();
  return outage.has_value() && now - outage->end < kReregistrationTime;
}

}  // namespace dragonflyglade
