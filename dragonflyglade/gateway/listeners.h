#ifndef DRAGONFLYGLADE_GATEWAY_LISTENERS_H_
#define DRAGONFLYGLADE_GATEWAY_LISTENERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/gateway/gateway_settings.h"

namespace dragonflyglade::gateway {

/// The sockets that a gateway listens on.
class Listeners {
 public:
  /// Binds all. A port of 0 in the settings is replaced by the one that the
  /// system chose, so that what others are told of this instance is true.
  Listeners(boost::asio::io_context& context, GatewaySettings& settings);

  /// Errors: kConnectFailed, naming the first address that cannot be had.
  const Status& Bound() const { return this->bound; }

  boost::asio::ip::tcp::acceptor callers;
  boost::asio::ip::tcp::acceptor readiness;
  boost::asio::ip::tcp::acceptor directory;
  boost::asio::ip::tcp::acceptor metrics;
  boost::asio::ip::udp::socket peers;

 private:
  void Listen(Endpoint& endpoint, boost::asio::ip::tcp::acceptor& acceptor);
  void BindPeers(Endpoint& endpoint);
  void Note(const boost::system::error_code& error, const Endpoint& endpoint);

  Status bound = Done{};
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_LISTENERS_H_
