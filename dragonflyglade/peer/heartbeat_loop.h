#ifndef DRAGONFLYGLADE_PEER_HEARTBEAT_LOOP_H_
#define DRAGONFLYGLADE_PEER_HEARTBEAT_LOOP_H_

#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/peer/heartbeat.h"
#include "dragonflyglade/peer/peer_client.h"

namespace dragonflyglade {

/// Sends a heartbeat to one other instance each period.
class HeartbeatLoop {
 public:
  HeartbeatLoop(Membership& membership, HeartbeatExchange& heartbeats,
                PeerClient& peers, Clock clock);

  void Start();
  void Stop();

  /// Exchanges heartbeats with an instance now. False if it did not answer.
  bool ExchangeHeartbeats(const MemberStatus& member);

  /// Sends heartbeats to a few instances at once, so that news spreads
  /// without waiting for the periods.
  void PropagateUpdates();

 private:
  absl::Duration Round();
  bool AnswersThroughOthers(std::string_view name);

  Membership& membership;
  HeartbeatExchange& heartbeats;
  PeerClient& peers;
  const Clock clock;
  PeriodicWorker worker;
  PeriodicWorker news;
  std::atomic<bool> has_news{false};
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_HEARTBEAT_LOOP_H_
