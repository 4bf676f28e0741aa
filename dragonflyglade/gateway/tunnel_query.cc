#include "dragonflyglade/gateway/tunnel_query.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "dragonflyglade/gateway/http_text.h"
#include "dragonflyglade/gateway/peek_socket.h"
#include "dragonflyglade/gateway/step_timer.h"
#include "dragonflyglade/gateway/target_socket.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr absl::Duration kQueryTimeout = absl::Milliseconds(400);

}  // namespace

std::string TunnelEndPath(std::string_view tunnel_id) {
  return "/ended-tunnels/" + std::string(tunnel_id);
}

asio::awaitable<bool> DidTargetCloseTunnel(asio::io_context& context,
                                           std::string address,
                                           std::string tunnel_id, Clock clock) {
  asio::ip::tcp::socket socket(context);
  StepTimer timer(context, clock, [&socket] {
    return PeekSocket(socket) == SocketState::kBytes;
  });
  const std::optional<ConnectFailure> failure =
      co_await ConnectTargetSocket(socket, address, timer);
  if (failure.has_value()) co_return false;
  timer.Start(kQueryTimeout, [&socket](absl::Duration) {
    error_code ignored;
    socket.close(ignored);
  });
  const OutgoingHttpRequest query{"GET", TunnelEndPath(tunnel_id), {}, ""};
  const std::string request = RequestHeadText(query, address, 0);
  error_code error;
  co_await asio::async_write(socket, asio::buffer(request),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return false;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::empty_body> response;
  response.skip(true);
  co_await http::async_read_header(
      socket, buffer, response,
      asio::redirect_error(asio::use_awaitable, error));
  co_return !error && response.get().result() == http::status::ok;
}

}  // namespace dragonflyglade::gateway
