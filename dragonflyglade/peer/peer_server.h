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

/// Answers the calls of other instances.
class PeerServer {
 public:
  /// Asks an instance for a sign of life on behalf of another.
  using Prober = std::function<bool(std::string_view name)>;

  PeerServer(Endpoint listen, HeartbeatExchange& heartbeats,
             Membership& membership, DistributedRateLimiter& shares,
             RecordStore& records, ConfigFreshness& freshness,
             DemandTracker& demand, Prober prober);
  ~PeerServer();

  /// Binds and begins to answer.
  /// @return the port, which the system chose if the settings say 0
  Result<int> Start();

  /// Stops answering and waits for calls under way.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_PEER_SERVER_H_
