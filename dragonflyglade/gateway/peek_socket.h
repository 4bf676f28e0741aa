#ifndef DRAGONFLYGLADE_GATEWAY_PEEK_SOCKET_H_
#define DRAGONFLYGLADE_GATEWAY_PEEK_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>

namespace dragonflyglade::gateway {

/// The result that a read from a socket would have.
enum class SocketState {
  kNoData,  ///< open, without unread bytes
  kBytes,   ///< has unread bytes
  kClosed,  ///< the peer has closed its sending side
  kFailed,  ///< reset, timed out, or closed on this side
};

/// Determines the state of a socket without consuming bytes or blocking.
SocketState PeekSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PEEK_SOCKET_H_
