#ifndef DRAGONFLYGLADE_DECISION_LEADER_LEASE_H_
#define DRAGONFLYGLADE_DECISION_LEADER_LEASE_H_

#include <cstdint>
#include <functional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The steady clock and the boot clock, read at the same moment. The steady
/// clock stops while the machine is suspended, the boot clock does not.
struct ClockReadings {
  Instant steady;
  Instant boot;
};

/// Timing of the leader lease.
struct LeaderLeaseOptions {
  /// Minimum time between the last order of one leader and the first order of
  /// the next leader to the same target.
  absl::Duration leader_handover_delay = absl::Seconds(3);
  /// Subtracted from the lease's time to live. Covers the error of the store's
  /// clock and the time from the last check of the lease until the order
  /// arrives at the target.
  absl::Duration margin = absl::Milliseconds(400);
};

/// Decides whether this instance is the leader and may issue orders now.
/// Not thread-safe.
///
/// The time to live counts from when the renewal was sent, the earliest moment
/// at which the store can have received it. The lease has expired as soon as
/// one of the two clocks says so. So this instance stops before the store
/// grants the lease to another instance, even if responses were lost or the
/// machine was suspended.
class LeaderLease {
 public:
  using ClockReader = std::function<ClockReadings()>;

  LeaderLease(LeaderLeaseOptions options, ClockReader read_clocks);

  /// Records that this instance became the leader.
  /// @param fence_token increases with each new leader
  /// @param sent_at when the last renewal of the lease was sent
  /// @param ttl time to live of the lease
  void OnLeaseAcquired(std::uint64_t fence_token, ClockReadings sent_at,
                       absl::Duration ttl);

  /// Records that the lease was renewed by a call that was sent at `sent_at`.
  void OnLeaseRenewed(ClockReadings sent_at, absl::Duration ttl);

  /// Records that this instance is no longer the leader.
  void OnLeaseLost();

  /// Whether this instance is the leader according to the store, even if it
  /// may not issue orders now.
  bool IsLeader() const { return this->is_leader; }

  /// Whether this instance may issue an order now. False for a while after it
  /// became the leader, because an order of the previous leader may still be in
  /// transit.
  bool MayIssueOrders() const;

  /// The earliest time on the steady clock at which MayIssueOrders can become
  /// true after OnLeaseAcquired.
  Instant EarliestOrderTime() const;

  std::uint64_t FencingToken() const { return this->fence_token; }

 private:
  const LeaderLeaseOptions options;
  const ClockReader read_clocks;
  bool is_leader = false;
  std::uint64_t fence_token = 0;
  ClockReadings acquired_at;
  ClockReadings valid_until;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_LEADER_LEASE_H_
