#ifndef DRAGONFLYGLADE_GATEWAY_LISTENERS_H_
#define DRAGONFLYGLADE_GATEWAY_LISTENERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/gateway/gateway_settings.h"

namespace dragonflyglade::gateway {

/// The listening sockets of a gateway.
class Listeners {
 public:
  /// Binds all sockets. Replaces a port of 0 in the settings by the port that
  /// the system chose, so that the instance announces its actual addresses.
  Listeners(boost::asio::io_context& context, GatewaySettings& settings);

  /// Errors: kConnectFailed, naming the first address that could not be bound.
  const Status& BindStatus() const { return this->bind_status; }

  boost::asio::ip::tcp::acceptor callers;
  boost::asio::ip::tcp::acceptor readiness;
  boost::asio::ip::tcp::acceptor directory;
  boost::asio::ip::tcp::acceptor metrics;
  boost::asio::ip::udp::socket peers;
  /// Listens at the same port as the datagrams of other instances.
  boost::asio::ip::tcp::acceptor tunnels;

 private:
  static boost::system::error_code Listen(
      Endpoint& endpoint, boost::asio::ip::tcp::acceptor& acceptor);
  boost::system::error_code BindPeers(Endpoint& endpoint);
  boost::system::error_code ListenToPeers(Endpoint& endpoint);
  void RecordError(const boost::system::error_code& error,
                   const Endpoint& endpoint);

  Status bind_status = Done{};
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_LISTENERS_H_
