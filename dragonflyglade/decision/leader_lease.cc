#include "dragonflyglade/decision/leader_lease.h"

#include <utility>

namespace dragonflyglade {

LeaderLease::LeaderLease(LeaderLeaseOptions options, ReadTime read)
    : options(options), read(std::move(read)) {}

void LeaderLease::OnLeaseAcquired(std::uint64_t fence, ClockReadings sent,
                                  absl::Duration ttl) {
  this->held = true;
  this->fence = fence;
  this->acquired = this->read();
  this->OnLeaseRenewed(sent, ttl);
}

void LeaderLease::OnLeaseRenewed(ClockReadings sent, absl::Duration ttl) {
  const absl::Duration usable = ttl - this->options.margin;
  this->valid_until = {sent.steady + usable, sent.boot + usable};
}

void LeaderLease::Lost() { this->held = false; }

Instant LeaderLease::EarliestOrderTime() const {
  // The holder before stopped a margin before its lease ended, and this one
  // acquired the duty after that, so the margin is in the sum already.
  return this->acquired.steady + this->options.leader_handover_delay;
}

bool LeaderLease::MayIssueOrders() const {
  if (!this->held) return false;
  const ClockReadings now = this->read();
  if (now.steady < this->EarliestOrderTime()) return false;
  return now.steady < this->valid_until.steady &&
         now.boot < this->valid_until.boot;
}

}  // namespace dragonflyglade
