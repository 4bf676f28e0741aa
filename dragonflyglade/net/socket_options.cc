#include "dragonflyglade/net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dragonflyglade {
namespace {

constexpr int kEnabled = 1;
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveProbeSeconds = 2;
constexpr int kKeepAliveProbes = 3;
// Once set, the user timeout also decides when the probes give up, whatever
// their count: it is the time that all of them take.
constexpr unsigned kUserTimeoutMilliseconds =
    1000 * (kKeepAliveIdleSeconds + kKeepAliveProbes * kKeepAliveProbeSeconds);

void SetOption(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

// Failure: a network device between the two ends drops the connection's state.
// Both ends still see the connection as open, so a read or write blocks
// forever. Keepalive probes detect this on an idle connection, and the user
// timeout detects it while sent data is unacknowledged.
void EnableDeadPeerDetection(int socket) {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, kEnabled);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveProbeSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  const unsigned user_timeout_ms = kUserTimeoutMilliseconds;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
             sizeof(user_timeout_ms));
}

// Failure: the HTTP library by default lets several processes bind one port
// (SO_REUSEPORT), so a second instance started by mistake silently takes half
// of the connections. Without that option its bind fails.
void ConfigureListenSocket(int socket) {
  SetOption(socket, SOL_SOCKET, SO_REUSEADDR, kEnabled);
  EnableDeadPeerDetection(socket);
}

}  // namespace dragonflyglade
