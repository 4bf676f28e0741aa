#ifndef DRAGONFLYGLADE_NET_SOCKET_OPTIONS_H_
#define DRAGONFLYGLADE_NET_SOCKET_OPTIONS_H_

namespace dragonflyglade {

/// Makes the kernel close a connection whose other end no longer responds.
void EnableDeadPeerDetection(int socket);

/// Sets the options of a listening socket: no other process can bind its port
/// at the same time, and the port can be bound again right after a restart.
/// Accepted connections get the options of EnableDeadPeerDetection.
void ConfigureListenSocket(int socket);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_SOCKET_OPTIONS_H_
