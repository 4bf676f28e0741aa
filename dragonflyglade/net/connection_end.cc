#include "dragonflyglade/net/connection_end.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dragonflyglade {

ConnectionEnd EndOfConnection(boost::asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return ConnectionEnd::kBroken;
  tcp_info info{};
  socklen_t size = sizeof info;
  const int failed =
      getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  if (failed != 0 || size == 0) return ConnectionEnd::kUnknown;
  switch (info.tcpi_state) {
    case TCP_CLOSE_WAIT:
    case TCP_LAST_ACK:
    case TCP_CLOSING:
      return ConnectionEnd::kOrderly;
    case TCP_CLOSE:
      return ConnectionEnd::kBroken;
    default:
      return ConnectionEnd::kUnknown;
  }
}

bool EndedInOrder(boost::asio::ip::tcp::socket& socket, bool sent_all) {
  switch (EndOfConnection(socket)) {
    case ConnectionEnd::kOrderly:
      return true;
    case ConnectionEnd::kBroken:
      return false;
    case ConnectionEnd::kUnknown:
      return sent_all;
  }
  return false;
}

}  // namespace dragonflyglade
