#ifndef DRAGONFLYGLADE_TESTS_FLEET_TCP_CONNECT_H_
#define DRAGONFLYGLADE_TESTS_FLEET_TCP_CONNECT_H_

#include <sys/time.h>

#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// How long a call on a socket waits.
struct SocketTimeouts {
  timeval receive;
  timeval send;
};

/// Opens a connection to an IPv4 address.
/// @return its descriptor; -1 if it is refused
int ConnectTcp(const Endpoint& endpoint, const SocketTimeouts& timeouts);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_FLEET_TCP_CONNECT_H_
