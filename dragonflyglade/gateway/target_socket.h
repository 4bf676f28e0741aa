#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_SOCKET_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/target_reachability.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/step_timer.h"

namespace dragonflyglade::gateway {

/// Why a connection could not be established.
struct ConnectFailure {
  std::string why;
  /// Nothing if the attempt was not made, or was ended by this instance.
  std::optional<ConnectError> error;
};

/// Sets the options of a connection that carries requests to a target: packets
/// are sent without delay, and unacknowledged data ends the connection.
void ConfigureTargetSocket(boost::asio::ip::tcp::socket& socket);

/// Connects a closed socket to a target, and configures it.
/// @param address IP address and port
/// @param timer limits the attempt
/// @param at_most a limit below the usual one
/// @return nothing if the socket is connected
boost::asio::awaitable<std::optional<ConnectFailure>> ConnectTargetSocket(
    boost::asio::ip::tcp::socket& socket, std::string_view address,
    StepTimer& timer, absl::Duration at_most = absl::InfiniteDuration());

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_SOCKET_H_
