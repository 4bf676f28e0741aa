#ifndef DRAGONFLYGLADE_PEER_HEARTBEAT_H_
#define DRAGONFLYGLADE_PEER_HEARTBEAT_H_

#include <functional>
#include <optional>
#include <string_view>

#include "dragonflyglade/decision/freshness.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/decision/share_book.h"
#include "dragonflyglade/decision/target_book.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/peer/generated/peer_types.h"

namespace dragonflyglade {

/// Where an instance listens for its peers.
Endpoint PeerEndpoint(const MemberStatement& member);

/// Fills heartbeats from this instance's state and takes in others'.
/// Thread-safe.
class HeartbeatExchange {
 public:
  /// Called with an instance that has a newer configuration.
  using OnNewer = std::function<void(const MemberStatement&)>;

  HeartbeatExchange(Membership& membership, ShareBook& shares,
                    RecordStore& records, Freshness& freshness,
                    TargetBook& targets, OnNewer on_newer, Clock clock);

  /// The heartbeat to send to an instance.
  wire::Heartbeat Make(std::string_view to);

  /// Takes a heartbeat in.
  /// @param asked_at when this instance sent the request that it answers;
  ///   nothing if it came unasked
  void Take(const wire::Heartbeat& heartbeat, std::optional<Instant> asked_at);

 private:
  Membership& membership;
  ShareBook& shares;
  RecordStore& records;
  Freshness& freshness;
  TargetBook& targets;
  const OnNewer on_newer;
  const Clock clock;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_HEARTBEAT_H_
