#include "dragonflyglade/gateway/peek_socket.h"

#include <sys/socket.h>

#include <cerrno>

namespace dragonflyglade::gateway {

SocketState PeekSocket(boost::asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return SocketState::kFailed;
  char byte = 0;
  ssize_t received = -1;
  do {
    received = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (received < 0 && errno == EINTR);
  if (received > 0) return SocketState::kBytes;
  if (received == 0) return SocketState::kClosed;
  const bool quiet = errno == EAGAIN || errno == EWOULDBLOCK;
  return quiet ? SocketState::kNoData : SocketState::kFailed;
}

}  // namespace dragonflyglade::gateway
