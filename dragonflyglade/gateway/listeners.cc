#include "dragonflyglade/gateway/listeners.h"

namespace dragonflyglade::gateway {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

// Length of the queue of connections to accept. On a small machine some hundred
// new callers may connect during one turn of the event loop.
constexpr int kBacklog = 1024;
constexpr int kPortAttempts = 20;

}  // namespace

Listeners::Listeners(boost::asio::io_context& context,
                     GatewaySettings& settings)
    : callers(context),
      readiness(context),
      directory(context),
      metrics(context),
      peers(context),
      tunnels(context) {
  this->RecordError(Listen(settings.callers, this->callers), settings.callers);
  this->RecordError(Listen(settings.readiness, this->readiness),
                    settings.readiness);
  this->RecordError(Listen(settings.directory, this->directory),
                    settings.directory);
  this->RecordError(Listen(settings.metrics, this->metrics), settings.metrics);
  this->RecordError(this->ListenToPeers(settings.peers), settings.peers);
}

error_code Listeners::Listen(Endpoint& endpoint, tcp::acceptor& acceptor) {
  error_code error;
  const tcp::endpoint local_endpoint(
      boost::asio::ip::make_address(endpoint.address, error),
      static_cast<unsigned short>(endpoint.port));
  if (!error) acceptor.open(local_endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(local_endpoint, error);
  if (!error) acceptor.listen(kBacklog, error);
  if (!error) endpoint.port = acceptor.local_endpoint().port();
  return error;
}

error_code Listeners::BindPeers(Endpoint& endpoint) {
  error_code error;
  const udp::endpoint local_endpoint(
      boost::asio::ip::make_address(endpoint.address, error),
      static_cast<unsigned short>(endpoint.port));
  if (!error) this->peers.open(local_endpoint.protocol(), error);
  if (!error) this->peers.bind(local_endpoint, error);
  if (!error) this->peers.non_blocking(true, error);
  return error;
}

// A port that the system chose for one of the two sockets may be taken for the
// other.
error_code Listeners::ListenToPeers(Endpoint& endpoint) {
  const bool any_port = endpoint.port == 0;
  error_code error;
  for (int attempt = 0; attempt < kPortAttempts; ++attempt) {
    error = Listen(endpoint, this->tunnels);
    if (!error) error = this->BindPeers(endpoint);
    if (!error || !any_port) return error;
    error_code ignored;
    this->tunnels.close(ignored);
    this->peers.close(ignored);
    endpoint.port = 0;
  }
  return error;
}

void Listeners::RecordError(const error_code& error, const Endpoint& endpoint) {
  if (!error || !this->bind_status.Ok()) return;
  this->bind_status = MakeFailure(Errc::kConnectFailed, "listen",
                                  endpoint.ToString(), error.message());
}

}  // namespace dragonflyglade::gateway
