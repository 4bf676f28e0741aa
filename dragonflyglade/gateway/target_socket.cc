#include "dragonflyglade/gateway/target_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A target in the same region accepts a connection within milliseconds. TCP
// retransmits a lost SYN packet after a second; trying another target is
// faster.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(400);
// The kernel closes a connection whose sent bytes stay unacknowledged for this
// long. Otherwise a target that lost power would look like a slow one. A sound
// target may be silent for a second.
constexpr absl::Duration kTcpUserTimeout = absl::Seconds(2);

// Enough for the bandwidth of an instance within a region.
constexpr int kSocketBufferBytes = 256 << 10;

}  // namespace

void ConfigureTargetSocket(tcp::socket& socket) {
  // Errors are ignored: the options affect timing only, not the outcome.
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  // The kernel would keep megabytes for a target that does not read, or of a
  // response that the caller does not read.
  socket.set_option(tcp::socket::send_buffer_size(kSocketBufferBytes), ignored);
  socket.set_option(tcp::socket::receive_buffer_size(kSocketBufferBytes),
                    ignored);
  const int timeout_ms =
      static_cast<int>(absl::ToInt64Milliseconds(kTcpUserTimeout));
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof timeout_ms);
}

asio::awaitable<std::optional<ConnectFailure>> ConnectTargetSocket(
    tcp::socket& socket, std::string_view address, StepTimer& timer,
    absl::Duration at_most) {
  const Result<Endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint.Ok()) {
    co_return ConnectFailure{endpoint.Error().ToString(), {}};
  }
  error_code error;
  const asio::ip::address ip =
      asio::ip::make_address(endpoint.Value().address, error);
  if (error) co_return ConnectFailure{error.message(), {}};
  const tcp::endpoint peer(ip,
                           static_cast<unsigned short>(endpoint.Value().port));
  bool timed_out = false;
  timer.Start(std::min(kConnectTimeout, at_most),
              [&socket, &timed_out](absl::Duration) {
                timed_out = true;
                error_code ignored;
                socket.close(ignored);
              });
  co_await socket.async_connect(
      peer, asio::redirect_error(asio::use_awaitable, error));
  timer.Stop();
  if (timed_out) {
    // A shorter attempt is no evidence on the path.
    const bool full_time = at_most >= kConnectTimeout;
    co_return ConnectFailure{
        "connect timeout",
        full_time ? std::optional(ConnectError::kTimedOut) : std::nullopt};
  }
  if (error == asio::error::operation_aborted) {
    co_return ConnectFailure{error.message(), {}};
  }
  if (error) {
    const bool answered = error == asio::error::connection_refused ||
                          error == asio::error::connection_reset;
    co_return ConnectFailure{error.message(), answered
                                                  ? ConnectError::kRefused
                                                  : ConnectError::kTimedOut};
  }
  ConfigureTargetSocket(socket);
  co_return std::nullopt;
}

}  // namespace dragonflyglade::gateway
