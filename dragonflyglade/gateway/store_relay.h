#ifndef DRAGONFLYGLADE_GATEWAY_STORE_RELAY_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Hands the store's urgent changes on from the instances that follow it to
/// all others, so that reads of the store do not grow with the fleet.
///
/// The holder of the placing duty gives a digest with each summary. While it
/// is silent, instances ask the other followers, which are few and strong, and
/// read the store themselves only when none of these speaks. One event loop.
class StoreRelay {
 public:
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;

  StoreRelay(boost::asio::io_context& context, FleetState& fleet,
             StoreSyncState& news, InstanceRecord self, Metrics& metrics,
             EventLog& log, Clock clock);

  /// How messages leave; set once, before anything else is called.
  void OnSend(SendMessage send) { this->send = std::move(send); }
  /// Called after another instance's word was applied.
  void OnDigestApplied(std::function<void()> act) {
    this->on_taken = std::move(act);
  }

  /// What an instance lacks that knows all urgent changes through a revision.
  wire::StoreDigest DigestSince(std::uint64_t known);

  /// Applies what another instance says.
  void ReceiveDigest(const wire::StoreDigest& digest);

  /// Answers an instance that asks.
  void ReceiveQuestion(const wire::StoreQuestion& question);

  /// Tells those that asked lately what is new.
  void NotifySubscribers();

  /// Sends an instance what it lacks.
  void SendDigest(std::uint64_t known, const std::string& address);

  /// Who holds the placing duty, packed, for any number of DigestOf.
  std::string PackLeaderRecord() const;
  /// Packed changes for instances of which it is not known what else they know.
  wire::StoreDigest DigestOf(std::string changes) const;

  /// Asks other followers while nobody speaks; runs until the process ends.
  boost::asio::awaitable<void> QueryRelaysWhileStale();

 private:
  /// Changes packed for all that know the same revision.
  struct Packed {
    std::string bytes;
    std::uint64_t last = 0;  ///< revision of the last change in it
    bool whole = true;       ///< no change had to be left out
  };
  struct Asker {
    std::uint64_t known = 0;
    Instant at;
  };

  const Packed* ChangesSince(std::uint64_t known);
  void Ask();
  bool IsFollower() const;

  boost::asio::io_context& context;
  FleetState& fleet;
  StoreSyncState& news;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  SendMessage send;
  std::function<void()> on_taken;
  std::uint64_t packed_version = 0;
  std::map<std::uint64_t, Packed> packed;  ///< by the known revision
  std::map<std::string, Asker> askers;     ///< by address
  std::size_t turn = 0;                    ///< whom to ask next
  bool led = false;                        ///< as logged last
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_RELAY_H_
