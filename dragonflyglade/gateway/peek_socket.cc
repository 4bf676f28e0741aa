#include "dragonflyglade/gateway/peek_socket.h"

#include <sys/socket.h>

#include <cerrno>

namespace dragonflyglade::gateway {

SocketState PeekSocket(boost::asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return SocketState::kFailed;
  char byte = 0;
  ssize_t got = -1;
  do {
    got = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (got < 0 && errno == EINTR);
  if (got > 0) return SocketState::kBytes;
  if (got == 0) return SocketState::kClosed;
  const bool quiet = errno == EAGAIN || errno == EWOULDBLOCK;
  return quiet ? SocketState::kNoData : SocketState::kFailed;
}

}  // namespace dragonflyglade::gateway
