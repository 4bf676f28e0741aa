#ifndef DRAGONFLYGLADE_PEER_HEARTBEAT_LOOP_H_
#define DRAGONFLYGLADE_PEER_HEARTBEAT_LOOP_H_

#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/peer/heartbeat.h"
#include "dragonflyglade/peer/peer_client.h"

namespace dragonflyglade {

/// Sends a heartbeat to one other instance in each period. If that instance
/// does not respond, others are asked to probe it before it is reported to the
/// membership as unresponsive.
class HeartbeatLoop {
 public:
  HeartbeatLoop(Membership& membership, HeartbeatExchange& heartbeats,
                PeerClient& peers, Clock clock);

  void Start();
  void Stop();

  /// Exchanges heartbeats with an instance now.
  /// @return false if the instance did not respond
  bool ExchangeHeartbeats(const MemberStatus& member);

  /// Sends heartbeats to a few instances immediately, so that an update of this
  /// instance's state spreads without waiting for the next periods.
  void PropagateUpdates();

 private:
  absl::Duration ProbeNextMember();
  bool IsReachableThroughPeers(std::string_view name);

  Membership& membership;
  HeartbeatExchange& heartbeats;
  PeerClient& peers;
  const Clock clock;
  PeriodicWorker worker;
  PeriodicWorker update_worker;
  std::atomic<bool> update_pending{false};
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_HEARTBEAT_LOOP_H_
