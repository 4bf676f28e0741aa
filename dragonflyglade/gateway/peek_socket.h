#ifndef DRAGONFLYGLADE_GATEWAY_PEEK_SOCKET_H_
#define DRAGONFLYGLADE_GATEWAY_PEEK_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>

namespace dragonflyglade::gateway {

/// What a read would find.
enum class SocketState {
  kNoData,  ///< open, and nothing to be read
  kBytes,   ///< bytes that nobody has read yet
  kClosed,  ///< the other end sends nothing more
  kFailed,  ///< reset, timed out, or closed here
};

/// Looks at a socket without reading from it or waiting.
SocketState PeekSocket(boost::asio::ip::tcp::socket& socket);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PEEK_SOCKET_H_
