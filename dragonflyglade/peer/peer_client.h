#ifndef DRAGONFLYGLADE_PEER_PEER_CLIENT_H_
#define DRAGONFLYGLADE_PEER_PEER_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/peer/generated/peer_types.h"

namespace dragonflyglade {

/// The limits of calls between instances.
struct PeerOptions {
  absl::Duration connect_timeout = absl::Milliseconds(150);
  absl::Duration call_timeout = absl::Milliseconds(300);
  absl::Duration borrow_timeout = absl::Milliseconds(50);
  /// Connections idle for longer than this are not reused.
  absl::Duration max_idle_time = absl::Seconds(5);
  std::size_t max_idle_per_peer = 4;
};

/// Client for calls to other instances, over Thrift's framed transport with
/// the compact protocol. Idle connections are pooled by peer.
///
/// Thread-safe. Errors: kConnectFailed, kTimeout, kConnectionLost,
/// kMalformedResponse.
class PeerClient {
 public:
  PeerClient(PeerOptions options, Clock clock);
  ~PeerClient();

  Result<wire::Heartbeat> Exchange(const Endpoint& peer,
                                   const wire::Heartbeat& own_heartbeat);
  Result<bool> Probe(const Endpoint& peer, std::string_view name);
  Result<wire::ConfigPage> PullConfig(const Endpoint& peer,
                                      std::int64_t after_revision);
  /// Borrows tokens of a workspace's quota from a peer's share. The call is not
  /// retried after a lost response, since the lender may have lent the tokens.
  Result<wire::LoanReply> Borrow(const Endpoint& peer,
                                 std::string_view workspace,
                                 std::int64_t tokens, absl::Duration max_wait);
  /// Returns unused borrowed tokens, without a response. If the message is
  /// lost, the tokens are merely not used.
  void ReturnLoan(const Endpoint& peer, std::string_view workspace,
                  std::int64_t tokens, std::int64_t stamp);
  Result<wire::EpochConfirmation> ConfirmEpochs(
      const Endpoint& peer, const std::vector<std::string>& workspaces);

  Result<wire::DemandReport> FetchDemand(const Endpoint& peer);

  /// The number of calls made since the start.
  std::int64_t CallCount() const { return this->calls; }

 private:
  struct Connection;
  using Job = std::function<void(Connection&)>;

  Status Call(const Endpoint& peer, std::string_view step,
              absl::Duration timeout, bool repeatable, const Job& job);
  Result<std::unique_ptr<Connection>> Open(const Endpoint& peer,
                                           std::string_view step);
  std::unique_ptr<Connection> AcquireIdle(const std::string& peer);
  void ReleaseIdle(const std::string& peer,
                   std::unique_ptr<Connection> connection);

  const PeerOptions options;
  const Clock clock;
  std::atomic<std::int64_t> calls{0};
  absl::Mutex mutex;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle
      ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_PEER_CLIENT_H_
