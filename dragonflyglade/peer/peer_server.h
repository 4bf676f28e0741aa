#ifndef DRAGONFLYGLADE_PEER_PEER_SERVER_H_
#define DRAGONFLYGLADE_PEER_PEER_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dragonflyglade/decision/demand_tracker.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/peer/heartbeat.h"

namespace dragonflyglade {

/// Serves the calls of other instances (the Thrift service PeerService).
class PeerServer {
 public:
  /// Checks on behalf of another instance whether the named one responds.
  using Prober = std::function<bool(std::string_view name)>;

  PeerServer(Endpoint listen, HeartbeatExchange& heartbeats,
             Membership& membership, DistributedRateLimiter& shares,
             RecordStore& records, ConfigFreshness& freshness,
             DemandTracker& demand, Prober prober);
  ~PeerServer();

  /// Binds the address and starts to serve calls.
  /// @return the port, which the system chose if the given one is 0
  /// Errors: kUnavailable if the address cannot be bound.
  Result<int> Start();

  /// Stops accepting calls and waits for those in progress.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_PEER_SERVER_H_
