#include "dragonflyglade/peer/peer_server.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <thread>
#include <utility>

#include "absl/synchronization/notification.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/peer/generated/PeerService.h"
#include "dragonflyglade/peer/peer_codec.h"

namespace dragonflyglade {
namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransportFactory;
using apache::thrift::transport::TServerSocket;

constexpr int kIdleTimeoutMilliseconds = 15'000;

class Handler : public wire::PeerServiceIf {
 public:
  Handler(HeartbeatExchange& heartbeats, Membership& membership,
          DistributedRateLimiter& shares, RecordStore& records,
          ConfigFreshness& freshness, DemandTracker& demand,
          PeerServer::Prober prober)
      : heartbeats(heartbeats),
        membership(membership),
        shares(shares),
        records(records),
        freshness(freshness),
        rates(demand),
        prober(std::move(prober)) {}

  void exchange(wire::Heartbeat& reply,
                const wire::Heartbeat& received) override {
    this->heartbeats.ApplyHeartbeat(received, std::nullopt);
    reply = this->heartbeats.MakeHeartbeat(received.sender.name);
  }

  bool probe(const std::string& name) override { return this->prober(name); }

  void pullConfig(wire::ConfigPage& page,
                  const std::int64_t after_revision) override {
    const absl::Duration age = this->freshness.Age();
    // The revision is read before the records, so the page may hold records
    // newer than its revision but never lacks older ones.
    page.revision = this->records.CompleteRevision();
    for (const RecordVersion& version :
         this->records.VersionsSince(after_revision)) {
      page.records.push_back(ToWire(version));
    }
    page.age_ms = age == absl::InfiniteDuration()
                      ? -1
                      : absl::ToInt64Milliseconds(age) + 1;
  }

  void borrow(wire::LoanReply& reply, const std::string& workspace,
              const std::int64_t tokens,
              const std::int64_t longest_wait_us) override {
    reply = ToWire(this->shares.LendTokens(
        workspace, tokens, absl::Microseconds(longest_wait_us)));
  }

  void giveBack(const std::string& workspace, const std::int64_t tokens,
                const std::int64_t stamp) override {
    this->shares.ReceiveReturn(workspace, tokens, stamp);
  }

  void confirmEpochs(wire::EpochConfirmation& confirmation,
                     const std::vector<std::string>& workspaces) override {
    confirmation.incarnation = this->membership.Self().incarnation;
    for (const std::string& workspace : workspaces) {
      confirmation.epochs[workspace] = this->shares.ConfirmedEpoch(workspace);
    }
  }

  void demand(wire::DemandReport& report) override {
    report.rates = this->rates.Rates();
  }

 private:
  HeartbeatExchange& heartbeats;
  Membership& membership;
  DistributedRateLimiter& shares;
  RecordStore& records;
  ConfigFreshness& freshness;
  DemandTracker& rates;
  const PeerServer::Prober prober;
};

// Notifies when the server has bound its port, which happens inside serve().
class BoundSignal : public apache::thrift::server::TServerEventHandler {
 public:
  void preServe() override { this->bound.Notify(); }

  absl::Notification bound;
};

}  // namespace

struct PeerServer::Impl {
  Endpoint listen;
  std::shared_ptr<Handler> handler;
  std::shared_ptr<TServerSocket> socket;
  std::unique_ptr<TThreadedServer> server;
  std::thread thread;
};

PeerServer::PeerServer(Endpoint listen, HeartbeatExchange& heartbeats,
                       Membership& membership, DistributedRateLimiter& shares,
                       RecordStore& records, ConfigFreshness& freshness,
                       DemandTracker& demand, Prober prober)
    : impl(std::make_unique<Impl>()) {
  this->impl->listen = std::move(listen);
  this->impl->handler =
      std::make_shared<Handler>(heartbeats, membership, shares, records,
                                freshness, demand, std::move(prober));
}

PeerServer::~PeerServer() { this->Stop(); }

Result<int> PeerServer::Start() {
  Impl& state = *this->impl;
  state.socket =
      std::make_shared<TServerSocket>(state.listen.address, state.listen.port);
  state.socket->setRecvTimeout(kIdleTimeoutMilliseconds);
  state.server = std::make_unique<TThreadedServer>(
      std::make_shared<wire::PeerServiceProcessor>(state.handler), state.socket,
      std::make_shared<TFramedTransportFactory>(),
      std::make_shared<TCompactProtocolFactory>());
  auto signal = std::make_shared<BoundSignal>();
  state.server->setServerEventHandler(signal);
  std::string bind_error;
  state.thread = std::thread([&state, &bind_error, signal] {
    try {
      state.server->serve();
    } catch (const TException& error) {
      if (signal->bound.HasBeenNotified()) {
        LogFor(LogPart::kPeer)
            .error("The peer server stopped unexpectedly: {}.", error.what());
        return;
      }
      bind_error = error.what();
      signal->bound.Notify();
    }
  });
  signal->bound.WaitForNotification();
  if (bind_error.empty()) return state.socket->getPort();
  state.thread.join();
  return MakeFailure(Errc::kUnavailable, "listen for peers",
                     state.listen.ToString(), bind_error);
}

void PeerServer::Stop() {
  Impl& state = *this->impl;
  if (!state.thread.joinable()) return;
  state.server->stop();
  state.thread.join();
}

}  // namespace dragonflyglade
