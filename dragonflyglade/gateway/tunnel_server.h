#ifndef DRAGONFLYGLADE_GATEWAY_TUNNEL_SERVER_H_
#define DRAGONFLYGLADE_GATEWAY_TUNNEL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/target_paths.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Connects other instances, which have no path of their own, to targets.
///
/// An instance asks for a tunnel by an HTTP CONNECT request (RFC 9110, section
/// 9.3.6) whose request target is the id of a target. After a response of 200
/// all bytes are forwarded in both directions. The instance that asks keeps all
/// decisions on the requests that it sends through the tunnel. This instance
/// uses its own paths only, so that a tunnel never leads through a second one.
///
/// Responses: 404 the target is unknown, leaving or evacuated; 502 it refused
/// the connection; 503 this instance has no path, is stopping or has too many
/// tunnels; 504 the target did not answer.
class TunnelServer {
 public:
  TunnelServer(boost::asio::io_context& context, FleetState& fleet,
               TargetPaths& paths, Metrics& metrics, Tasks& tasks, Clock clock);

  /// Accepts tunnels; runs until the process ends.
  boost::asio::awaitable<void> Accept(boost::asio::ip::tcp::acceptor& acceptor);

  /// From now on, no more tunnels are established.
  void BeginShutdown() { this->stopping = true; }

  /// The number of tunnels that are likely to have a request in progress.
  int Busy() const;

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Tunnel;

  boost::asio::awaitable<void> Serve(std::shared_ptr<Tunnel> tunnel);
  boost::asio::awaitable<int> Establish(Tunnel& tunnel);
  boost::asio::awaitable<void> Forward(std::shared_ptr<Tunnel> tunnel,
                                       bool to_target);
  void HandleEnd(const std::shared_ptr<Tunnel>& tunnel, bool instance_ended);

  boost::asio::io_context& context;
  FleetState& fleet;
  TargetPaths& paths;
  Metrics& metrics;
  Tasks& tasks;
  const Clock clock;
  bool stopping = false;
  std::list<std::weak_ptr<Tunnel>> tunnels;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TUNNEL_SERVER_H_
