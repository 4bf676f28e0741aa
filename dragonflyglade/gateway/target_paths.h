#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_PATHS_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_PATHS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/random/random.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/target_reachability.h"
#include "dragonflyglade/decision/tunnel_peers.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/target_statements.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Connect to the target.
struct DirectPath {};
/// Connect to the target through another instance.
struct TunnelPath {
  std::string peer;     ///< name of the other instance
  std::string address;  ///< IP address and port of its tunnels
};
/// This instance is isolated from the service, and no other can be used.
struct NoPath {};
using TargetPath = std::variant<DirectPath, TunnelPath, NoPath>;

/// Knows by which paths this instance reaches the targets of each service. Used
/// on one event loop.
class TargetPaths {
 public:
  TargetPaths(boost::asio::io_context& context, const WireFormat& wire,
              FleetState& fleet, FleetChannel& channel,
              TargetStatements& statements, InstanceRecord self,
              Metrics& metrics, EventLog& log, Tasks& tasks, Clock clock);

  /// The path to use for the next connection to the target.
  TargetPath PathTo(const TargetState& target);

  /// How long no request may be sent to the target, since it wants rest from
  /// this instance, or from all others that this one could reach it through.
  absl::Duration UntilRested(const TargetState& target);

  /// Whether there is a path to some target of the service.
  bool AnyPath(std::string_view service);

  /// Records the outcome of a connection attempt to the target.
  void RecordConnected(const TargetState& target);
  void RecordConnectFailed(const TargetState& target, ConnectError error);
  /// Makes the exchange use the path, and records the outcomes of its
  /// connection attempts and what the target says of itself.
  void Use(TargetPath path, TargetState& target, TargetExchange& exchange);
  /// Makes the exchange send nothing if the target has asked for rest, or has
  /// said that it leaves, since the path was chosen.
  void RecheckBeforeSend(TargetPath path, const TargetState& target,
                         TargetExchange& exchange);

  /// Records a request that is sent over a direct path now.
  /// @return when it was sent, for RecordEnded
  Instant RecordSent(std::string_view service);
  /// Records that such a request has ended.
  void RecordEnded(std::string_view service, Instant sent_at);
  /// Records that bytes of a response arrived over a direct path.
  void RecordReceived(std::string_view service);

  /// Sets a function that is called when this instance becomes isolated from a
  /// service.
  void OnIsolated(std::function<void(std::string_view service)> callback) {
    this->on_isolated = std::move(callback);
  }

  /// Waits while it is undecided whether the service's targets or the paths to
  /// them failed: for milliseconds, at most half a second.
  boost::asio::awaitable<void> AwaitVerdict(std::string service);

  /// Whether this instance has no path of its own to the service's targets.
  bool IsIsolated(std::string_view service) const;
  /// Since when this instance is isolated from some service; nothing if it has
  /// a path to each.
  std::optional<Instant> IsolatedSince() const;
  /// Whether this instance is isolated from some service, or was lately.
  bool IsolatedLately() const;

 private:
  TargetReachability& ReachabilityOf(std::string_view service);
  std::vector<TunnelPeerCandidate> Peers() const;
  std::vector<TunnelPeerCandidate> PeersFor(const TargetState& target) const;
  void RecordTunnel(const std::string& peer, const TargetState& target,
                    const NotSent* failed);
  void HandleIsolation(std::string_view service);
  void HandleOwnPath(const TargetRecord& target);
  /// Whether another target of the service than this one has not failed lately.
  bool OthersRemain(std::string_view failed, std::string_view service);
  boost::asio::awaitable<void> ReviewDoubt(std::string service);
  std::vector<std::shared_ptr<TargetState>> ChooseForProbes(
      std::string_view service, std::size_t count);
  void ProbeIfDue(std::string_view service);
  void ProbeTargets(std::string_view service, int count);
  boost::asio::awaitable<void> Probe(std::shared_ptr<TargetState> target);

  boost::asio::io_context& context;
  const WireFormat& wire;
  FleetState& fleet;
  FleetChannel& channel;
  TargetStatements& statements;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  absl::BitGen random;
  std::map<std::string, TargetReachability, std::less<>> reachability;
  std::set<std::string, std::less<>> reviewed;  ///< services
  TunnelPeers peers;
  std::optional<Instant> last_isolation_end;
  std::function<void(std::string_view)> on_isolated;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_PATHS_H_
