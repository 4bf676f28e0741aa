#include "dragonflyglade/net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dragonflyglade {
namespace {

constexpr int kOn = 1;
constexpr int kIdleSeconds = 5;
constexpr int kProbeSeconds = 2;
constexpr int kProbes = 3;
constexpr unsigned kUnackedMilliseconds = 10'000;

void Set(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

// Failure: a device between the two ends forgets the connection; both ends
// see it open, and a write or a read waits for good. Keepalive probes find it
// while idle, and the user timeout finds it while data is unacknowledged.
void EnableDeadPeerDetection(int socket) {
  Set(socket, SOL_SOCKET, SO_KEEPALIVE, kOn);
  Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  const unsigned unacked = kUnackedMilliseconds;
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
}

// The HTTP library would share the port between processes, and a second
// instance started by mistake would take half of the connections unnoticed.
void ConfigureListenSocket(int socket) {
  Set(socket, SOL_SOCKET, SO_REUSEADDR, kOn);
  EnableDeadPeerDetection(socket);
}

}  // namespace dragonflyglade
