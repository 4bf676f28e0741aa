#ifndef DRAGONFLYGLADE_PEER_HEARTBEAT_H_
#define DRAGONFLYGLADE_PEER_HEARTBEAT_H_

#include <functional>
#include <optional>
#include <string_view>

#include "dragonflyglade/decision/config_freshness.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/peer/generated/peer_types.h"

namespace dragonflyglade {

/// The endpoint at which an instance listens for other instances.
Endpoint PeerEndpoint(const MemberStatus& member);

/// Makes heartbeats from this instance's state, and applies those received
/// from other instances to it. Thread-safe.
class HeartbeatExchange {
 public:
  /// Called with an instance that has a newer configuration than this one.
  using OnNewerConfig = std::function<void(const MemberStatus&)>;

  HeartbeatExchange(Membership& membership, DistributedRateLimiter& shares,
                    RecordStore& records, ConfigFreshness& freshness,
                    TargetRegistry& targets, OnNewerConfig on_newer,
                    Clock clock);

  /// Makes the heartbeat to send to an instance.
  wire::Heartbeat MakeHeartbeat(std::string_view to);

  /// Applies a received heartbeat.
  /// @param sent_at when this instance sent the heartbeat to which the
  ///   received one is the response; nothing if it is not a response
  void ApplyHeartbeat(const wire::Heartbeat& heartbeat,
                      std::optional<Instant> sent_at);

 private:
  Membership& membership;
  DistributedRateLimiter& shares;
  RecordStore& records;
  ConfigFreshness& freshness;
  TargetRegistry& targets;
  const OnNewerConfig on_newer;
  const Clock clock;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_HEARTBEAT_H_
