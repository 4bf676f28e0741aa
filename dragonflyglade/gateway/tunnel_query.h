#ifndef DRAGONFLYGLADE_GATEWAY_TUNNEL_QUERY_H_
#define DRAGONFLYGLADE_GATEWAY_TUNNEL_QUERY_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"

namespace dragonflyglade::gateway {

/// The header field by which an instance names a tunnel that it asks for.
inline constexpr const char* kTunnelIdField = "Tunnel-Id";

/// The header field by which it says its own name.
inline constexpr const char* kTunnelInstanceField = "Tunnel-Instance";

/// The path at which an instance tells whether the target closed a tunnel.
std::string TunnelEndPath(std::string_view tunnel_id);

/// Asks another instance whether the target closed a tunnel, and all that it
/// had sent was forwarded. The tunnel's connection ends in the same way if the
/// other instance's process is killed.
/// @param address IP address and port of the other instance's tunnels
/// @return false also if the other instance does not answer
boost::asio::awaitable<bool> DidTargetCloseTunnel(
    boost::asio::io_context& context, std::string address,
    std::string tunnel_id, Clock clock);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TUNNEL_QUERY_H_
