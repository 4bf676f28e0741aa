#ifndef DRAGONFLYGLADE_NET_CONNECTION_END_H_
#define DRAGONFLYGLADE_NET_CONNECTION_END_H_

#include <boost/asio/ip/tcp.hpp>

namespace dragonflyglade {

/// How the sending side of a connection's peer ended.
enum class ConnectionEnd {
  kOrderly,  ///< by a FIN; all that it sent has arrived
  kBroken,   ///< by a reset or a timeout, or this side closed the socket
  kUnknown,  ///< the system does not tell
};

/// Determines how the peer ended a connection whose end was just read.
///
/// The result of a read does not tell: the kernel reports a reset to one call
/// only, and if a write or another call took that error, a read returns the
/// same as after a FIN.
ConnectionEnd EndOfConnection(boost::asio::ip::tcp::socket& socket);

/// Whether a body that ends with its connection is complete, as far as this
/// socket tells.
/// @param sent_all whether all that was to be sent was written without an
///   error; decides if the system does not tell
bool EndedInOrder(boost::asio::ip::tcp::socket& socket, bool sent_all);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_CONNECTION_END_H_
