#include "dragonflyglade/gateway/listeners.h"

namespace dragonflyglade::gateway {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

// Length of the queue of connections to accept. On a small machine some hundred
// new callers may connect during one turn of the event loop.
constexpr int kBacklog = 1024;

}  // namespace

Listeners::Listeners(boost::asio::io_context& context,
                     GatewaySettings& settings)
    : callers(context),
      readiness(context),
      directory(context),
      metrics(context),
      peers(context),
      tunnels(context) {
  this->Listen(settings.callers, this->callers);
  this->Listen(settings.readiness, this->readiness);
  this->Listen(settings.directory, this->directory);
  this->Listen(settings.metrics, this->metrics);
  this->BindPeers(settings.peers);
  this->Listen(settings.peers, this->tunnels);
}

void Listeners::Listen(Endpoint& endpoint, tcp::acceptor& acceptor) {
  error_code error;
  const tcp::endpoint local_endpoint(
      boost::asio::ip::make_address(endpoint.address, error),
      static_cast<unsigned short>(endpoint.port));
  if (!error) acceptor.open(local_endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(local_endpoint, error);
  if (!error) acceptor.listen(kBacklog, error);
  this->RecordError(error, endpoint);
  if (!error) endpoint.port = acceptor.local_endpoint().port();
}

void Listeners::BindPeers(Endpoint& endpoint) {
  error_code error;
  const udp::endpoint local_endpoint(
      boost::asio::ip::make_address(endpoint.address, error),
      static_cast<unsigned short>(endpoint.port));
  if (!error) this->peers.open(local_endpoint.protocol(), error);
  if (!error) this->peers.bind(local_endpoint, error);
  if (!error) this->peers.non_blocking(true, error);
  this->RecordError(error, endpoint);
  if (!error) endpoint.port = this->peers.local_endpoint().port();
}

void Listeners::RecordError(const error_code& error, const Endpoint& endpoint) {
  if (!error || !this->bind_status.Ok()) return;
  this->bind_status = MakeFailure(Errc::kConnectFailed, "listen",
                                  endpoint.ToString(), error.message());
}

}  // namespace dragonflyglade::gateway
