#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_PATH_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_PATH_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// What a network path does to connections.
enum class PathState {
  kOpen,
  kHangs,       ///< nothing arrives any more, on new and on open connections
  kResets,      ///< open connections are reset, and new ones refused
  kRefusesNew,  ///< new connections are refused, open ones live on
  kDropsNew,    ///< new connections hang, open ones live on
};

/// The network path from one instance to one target: forwards connections, and
/// can be cut in several ways.
class PathStandIn {
 public:
  /// @param target address of the target
  explicit PathStandIn(const std::string& target);
  ~PathStandIn();
  PathStandIn(const PathStandIn&) = delete;
  PathStandIn& operator=(const PathStandIn&) = delete;

  std::string Address() const;

  /// Changes the path; returns once the change is in effect.
  void Set(PathState state);

  /// The number of connections that were forwarded.
  int Connections() const;

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection;

  template <typename T>
  T RunOnLoop(const std::function<T()>& action) const;
  void Listen();
  void Accept();
  void Forward(Socket accepted);
  void Pump(std::shared_ptr<Connection> connection, Socket& from, Socket& to);
  static void HandleEnd(Connection& connection, Socket& from, Socket& to);
  void Apply(PathState state);
  void DropNewConnections();
  void ResetConnections();

  mutable boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  const boost::asio::ip::tcp::endpoint target;
  unsigned short port = 0;
  PathState state = PathState::kOpen;
  int forwarded = 0;
  std::vector<std::shared_ptr<Connection>> connections;
  /// Connections that fill the queue of the listening socket.
  std::vector<std::unique_ptr<Socket>> queue_fillers;
  std::thread thread;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_PATH_STAND_IN_H_
