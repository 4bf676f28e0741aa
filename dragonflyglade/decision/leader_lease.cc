#include "dragonflyglade/decision/leader_lease.h"

#include <utility>

namespace dragonflyglade {

LeaderLease::LeaderLease(LeaderLeaseOptions options, ClockReader read_clocks)
    : options(options), read_clocks(std::move(read_clocks)) {}

void LeaderLease::OnLeaseAcquired(std::uint64_t fence_token,
                                  ClockReadings sent_at, absl::Duration ttl) {
  this->is_leader = true;
  this->fence_token = fence_token;
  this->acquired_at = this->read_clocks();
  this->OnLeaseRenewed(sent_at, ttl);
}

void LeaderLease::OnLeaseRenewed(ClockReadings sent_at, absl::Duration ttl) {
  const absl::Duration valid_for = ttl - this->options.margin;
  this->valid_until = {sent_at.steady + valid_for, sent_at.boot + valid_for};
}

void LeaderLease::OnLeaseLost() { this->is_leader = false; }

Instant LeaderLease::EarliestOrderTime() const {
  // The margin need not be added: the previous leader issued its last order a
  // margin before its lease expired, and this instance became the leader after
  // that lease had expired.
  return this->acquired_at.steady + this->options.leader_handover_delay;
}

bool LeaderLease::MayIssueOrders() const {
  if (!this->is_leader) return false;
  const ClockReadings now = this->read_clocks();
  if (now.steady < this->EarliestOrderTime()) return false;
  return now.steady < this->valid_until.steady &&
         now.boot < this->valid_until.boot;
}

}  // namespace dragonflyglade
