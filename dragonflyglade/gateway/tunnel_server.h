#ifndef DRAGONFLYGLADE_GATEWAY_TUNNEL_SERVER_H_
#define DRAGONFLYGLADE_GATEWAY_TUNNEL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/target_paths.h"
#include "dragonflyglade/gateway/target_statements.h"
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
/// A GET request for TunnelEndPath() is answered by 200 if the target closed
/// the tunnel, and by 404 if not.
///
/// Responses: 404 the target is unknown, leaving or evacuated; 502 it refused
/// the connection; 429 it wants no requests from this instance, for the time of
/// the field Retry-After; 503 this instance has no path or is stopping; 504 the
/// target did not answer. One tunnel too many is closed without a response.
class TunnelServer {
 public:
  /// @param most tunnels at the same time
  TunnelServer(boost::asio::io_context& context, std::size_t most,
               FleetState& fleet, TargetPaths& paths,
               TargetStatements& statements, Metrics& metrics, Tasks& tasks,
               Clock clock);

  /// Accepts tunnels; runs until the process ends.
  boost::asio::awaitable<void> Accept(boost::asio::ip::tcp::acceptor& acceptor);

  /// From now on, no more tunnels are established.
  void BeginShutdown() { this->stopping = true; }

  /// The number of tunnels that are likely to have a request in progress.
  int Busy() const;

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Tunnel;

  /// Asks for a tunnel to a target.
  struct OpenRequest {
    std::string target;
  };
  /// Asks whether the target closed a tunnel.
  struct EndQuery {
    std::string path;
  };
  struct Malformed {};
  using TunnelRequest = std::variant<OpenRequest, EndQuery, Malformed>;

  boost::asio::awaitable<void> Serve(std::shared_ptr<Tunnel> tunnel);
  boost::asio::awaitable<TunnelRequest> ReadRequest(Tunnel& tunnel);
  boost::asio::awaitable<int> ConnectToTarget(Tunnel& tunnel,
                                              std::string target_id);
  boost::asio::awaitable<bool> Respond(Tunnel& tunnel, int status);
  void TellUsers(const TargetState& target);
  void RecordClosedByTarget(const std::string& tunnel_id);
  bool WasClosedByTarget(std::string_view path) const;
  boost::asio::awaitable<void> Forward(std::shared_ptr<Tunnel> tunnel,
                                       bool to_target);
  void HandleEnd(const std::shared_ptr<Tunnel>& tunnel, bool instance_ended);

  boost::asio::io_context& context;
  const std::size_t most;
  FleetState& fleet;
  TargetPaths& paths;
  TargetStatements& statements;
  Metrics& metrics;
  Tasks& tasks;
  const Clock clock;
  bool stopping = false;
  std::list<std::weak_ptr<Tunnel>> tunnels;
  /// The paths of the tunnels that targets closed last, the oldest first.
  std::deque<std::string> closed_by_target;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TUNNEL_SERVER_H_
