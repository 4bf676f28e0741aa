#ifndef DRAGONFLYGLADE_DECISION_LEADER_LEASE_H_
#define DRAGONFLYGLADE_DECISION_LEADER_LEASE_H_

#include <cstdint>
#include <functional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Two readings at one moment. The steady clock stands still while the
/// machine is suspended, the boot clock does not.
struct ClockReadings {
  Instant steady;
  Instant boot;
};

/// Times of a duty's lease.
struct LeaderLeaseOptions {
  /// Orders of two holders to one target must lie further apart than this.
  absl::Duration leader_handover_delay = absl::Seconds(3);
  /// Taken off the lease: what the store's clock and an order on its way may
  /// add between the last check here and the order's arrival there.
  absl::Duration margin = absl::Milliseconds(400);
};

/// Whether this instance may act as the holder of a duty right now.
/// Not synchronised.
///
/// A renewal counts from when it was sent, the earliest moment at which the
/// store can have taken it. So this instance stops before the store lets
/// another one in, also when answers are lost or it was suspended in between:
/// either clock running out is enough.
class LeaderLease {
 public:
  using ReadTime = std::function<ClockReadings()>;

  LeaderLease(LeaderLeaseOptions options, ReadTime read);

  /// The duty was acquired under a lease that was renewed at sent.
  /// @param fence grows with each holder
  void OnLeaseAcquired(std::uint64_t fence, ClockReadings sent,
                       absl::Duration ttl);

  /// The lease was renewed by a call sent at that time.
  void OnLeaseRenewed(ClockReadings sent, absl::Duration ttl);

  void Lost();

  /// Holding according to the store, whether or not orders may go out.
  bool Held() const { return this->held; }

  /// Whether an order may be sent now. False for a while after the duty was
  /// acquired: an order of the holder before may still be on its way.
  bool MayIssueOrders() const;

  /// When MayIssueOrders can become true after Acquired, on the steady clock.
  Instant EarliestOrderTime() const;

  std::uint64_t Fence() const { return this->fence; }

 private:
  const LeaderLeaseOptions options;
  const ReadTime read;
  bool held = false;
  std::uint64_t fence = 0;
  ClockReadings acquired;
  ClockReadings valid_until;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_LEADER_LEASE_H_
