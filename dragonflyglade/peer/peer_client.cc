#include "dragonflyglade/peer/peer_client.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <utility>

#include "dragonflyglade/net/socket_options.h"
#include "dragonflyglade/peer/generated/PeerService.h"

namespace dragonflyglade {
namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

Errc CodeOf(const TTransportException& error) {
  switch (error.getType()) {
    case TTransportException::TIMED_OUT:
      return Errc::kTimeout;
    case TTransportException::CORRUPTED_DATA:
      return Errc::kMalformedResponse;
    default:
      return Errc::kConnectionLost;
  }
}

}  // namespace

struct PeerClient::Connection {
  explicit Connection(const Endpoint& peer)
      : socket(std::make_shared<TSocket>(peer.address, peer.port)),
        transport(std::make_shared<TFramedTransport>(socket)),
        client(std::make_shared<TCompactProtocol>(transport)) {}

  std::shared_ptr<TSocket> socket;
  std::shared_ptr<TFramedTransport> transport;
  wire::PeerServiceClient client;
  Instant idle_since;
};

PeerClient::PeerClient(PeerOptions options, Clock clock)
    : options(options), clock(clock) {}

PeerClient::~PeerClient() = default;

Result<std::unique_ptr<PeerClient::Connection>> PeerClient::Open(
    const Endpoint& peer, std::string_view step) {
  auto connection = std::make_unique<Connection>(peer);
  connection->socket->setConnTimeout(static_cast<int>(
      absl::ToInt64Milliseconds(this->options.connect_timeout)));
  connection->socket->setNoDelay(true);
  try {
    connection->transport->open();
  } catch (const TException& error) {
    return MakeFailure(Errc::kConnectFailed, step, "peer " + peer.ToString(),
                       error.what());
  }
  EnableDeadPeerDetection(static_cast<int>(connection->socket->getSocketFD()));
  return connection;
}

std::unique_ptr<PeerClient::Connection> PeerClient::AcquireIdle(
    const std::string& peer) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->idle.find(peer);
  if (found == this->idle.end()) return nullptr;
  const Instant oldest_usable = this->clock.Now() - this->options.max_idle_time;
  while (!found->second.empty()) {
    std::unique_ptr<Connection> connection = std::move(found->second.back());
    found->second.pop_back();
    if (connection->idle_since >= oldest_usable) return connection;
  }
  this->idle.erase(found);
  return nullptr;
}

void PeerClient::ReleaseIdle(const std::string& peer,
                             std::unique_ptr<Connection> connection) {
  absl::MutexLock lock(&this->mutex);
  std::vector<std::unique_ptr<Connection>>& idle_connections = this->idle[peer];
  if (idle_connections.size() >= this->options.max_idle_per_peer) return;
  connection->idle_since = this->clock.Now();
  idle_connections.push_back(std::move(connection));
}

// Failure: a pooled connection is broken although new connections to the same
// instance work, so a live instance is taken for unreachable. A repeatable call
// that fails on a reused connection is therefore retried on a new one before
// the failure is reported.
Status PeerClient::Call(const Endpoint& peer, std::string_view step,
                        absl::Duration timeout, bool repeatable,
                        const Job& job) {
  const std::string name = peer.ToString();
  std::unique_ptr<Connection> connection = this->AcquireIdle(name);
  while (true) {
    const bool is_reused = connection != nullptr;
    if (!is_reused) {
      Result<std::unique_ptr<Connection>> opened = this->Open(peer, step);
      if (!opened.Ok()) return opened.Error();
      connection = std::move(opened.Value());
    }
    const int milliseconds =
        static_cast<int>(absl::ToInt64Milliseconds(timeout));
    connection->socket->setRecvTimeout(milliseconds);
    connection->socket->setSendTimeout(milliseconds);
    ++this->calls;
    try {
      job(*connection);
      this->ReleaseIdle(name, std::move(connection));
      return Done{};
    } catch (const TTransportException& error) {
      connection.reset();
      if (is_reused && repeatable) continue;
      return MakeFailure(CodeOf(error), step, "peer " + name, error.what());
    } catch (const TException& error) {
      return MakeFailure(Errc::kMalformedResponse, step, "peer " + name,
                         error.what());
    }
  }
}

Result<wire::Heartbeat> PeerClient::Exchange(
    const Endpoint& peer, const wire::Heartbeat& own_heartbeat) {
  wire::Heartbeat reply;
  const Status status = this->Call(
      peer, "exchange", this->options.call_timeout, true,
      [&](Connection& c) { c.client.exchange(reply, own_heartbeat); });
  if (!status.Ok()) return status.Error();
  return reply;
}

Result<bool> PeerClient::Probe(const Endpoint& peer, std::string_view name) {
  bool alive = false;
  const Status status = this->Call(
      peer, "probe", 2 * this->options.call_timeout, true,
      [&](Connection& c) { alive = c.client.probe(std::string(name)); });
  if (!status.Ok()) return status.Error();
  return alive;
}

Result<wire::ConfigPage> PeerClient::PullConfig(const Endpoint& peer,
                                                std::int64_t after_revision) {
  wire::ConfigPage page;
  const Status status = this->Call(
      peer, "pull config", 4 * this->options.call_timeout, true,
      [&](Connection& c) { c.client.pullConfig(page, after_revision); });
  if (!status.Ok()) return status.Error();
  return page;
}

Result<wire::LoanReply> PeerClient::Borrow(const Endpoint& peer,
                                           std::string_view workspace,
                                           std::int64_t tokens,
                                           absl::Duration max_wait) {
  wire::LoanReply reply;
  const Status status = this->Call(
      peer, "borrow", this->options.borrow_timeout, false, [&](Connection& c) {
        c.client.borrow(reply, std::string(workspace), tokens,
                        absl::ToInt64Microseconds(max_wait));
      });
  if (!status.Ok()) return status.Error();
  return reply;
}

void PeerClient::ReturnLoan(const Endpoint& peer, std::string_view workspace,
                            std::int64_t tokens, std::int64_t stamp) {
  this->Call(peer, "give back", this->options.borrow_timeout, false,
             [&](Connection& c) {
               c.client.giveBack(std::string(workspace), tokens, stamp);
             });
}

Result<wire::EpochConfirmation> PeerClient::ConfirmEpochs(
    const Endpoint& peer, const std::vector<std::string>& workspaces) {
  wire::EpochConfirmation confirmation;
  const Status status = this->Call(
      peer, "confirm epochs", this->options.call_timeout, true,
      [&](Connection& c) { c.client.confirmEpochs(confirmation, workspaces); });
  if (!status.Ok()) return status.Error();
  return confirmation;
}

Result<wire::DemandReport> PeerClient::FetchDemand(const Endpoint& peer) {
  wire::DemandReport report;
  const Status status =
      this->Call(peer, "demand", this->options.call_timeout, true,
                 [&](Connection& c) { c.client.demand(report); });
  if (!status.Ok()) return status.Error();
  return report;
}

}  // namespace dragonflyglade
