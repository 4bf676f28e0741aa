#ifndef DRAGONFLYGLADE_NET_SOCKET_OPTIONS_H_
#define DRAGONFLYGLADE_NET_SOCKET_OPTIONS_H_

namespace dragonflyglade {

/// Makes the kernel notice a connection that went silent for good.
void EnableDeadPeerDetection(int socket);

/// Options of a listening socket: its port is never shared with another
/// process, and is free again right after a restart.
void ConfigureListenSocket(int socket);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_SOCKET_OPTIONS_H_
