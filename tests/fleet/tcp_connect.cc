#include "tests/fleet/tcp_connect.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace dragonflyglade {

int ConnectTcp(const Endpoint& endpoint, const SocketTimeouts& timeouts) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeouts.receive,
             sizeof timeouts.receive);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeouts.send, sizeof timeouts.send);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  const auto* any = reinterpret_cast<const sockaddr*>(&address);
  if (connect(fd, any, sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

}  // namespace dragonflyglade
