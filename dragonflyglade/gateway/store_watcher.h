#ifndef DRAGONFLYGLADE_GATEWAY_STORE_WATCHER_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_WATCHER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/store_sync_state.h"

namespace dragonflyglade::gateway {

/// Keeps the fleet state at the store's newest revision: lists the store once,
/// then watches for changes, and lists it again when the history it needs has
/// been compacted.
///
/// Watch calls are short. A watch on a connection that stopped delivering data
/// looks like a store without changes; only a missing response tells the two
/// apart. While a relay is live and its digests contain all urgent changes,
/// this instance reads nothing, so that the number of calls does not grow with
/// the number of instances. Used by one event loop.
class StoreWatcher {
 public:
  /// @param self the name of this instance
  StoreWatcher(boost::asio::io_context& context, StoreClient& store,
               FleetState& fleet, StoreSyncState& sync_state, std::string self,
               EventLog& log, Clock clock);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

  /// Whether the store responded to the last call. An instance that relies on a
  /// relay makes none.
  bool IsStoreReachable() const { return !this->failing_since.has_value(); }
  /// The revision of the fleet state. Changes that are not urgent may be
  /// missing from it.
  std::uint64_t Revision() const { return this->revision; }

 private:
  boost::asio::awaitable<bool> List();
  boost::asio::awaitable<bool> Watch();
  /// @return whether a relay was live
  boost::asio::awaitable<bool> WaitWhileRelayLive();
  bool ReliesOnRelay() const;
  void SkipRelayedChanges();
  absl::Duration PauseBetweenReads() const;
  absl::Duration WatchDuration(bool relied_on_relay) const;
  void HandleStoreResponse();
  boost::asio::awaitable<void> HandleStoreFailure(std::string_view why);

  boost::asio::io_context& context;
  StoreClient& store;
  FleetState& fleet;
  StoreSyncState& sync_state;
  const std::string self;
  EventLog& log;
  const Clock clock;
  std::uint64_t revision = 0;
  /// Whether changes up to the revision that are not urgent were skipped.
  bool details_incomplete = false;
  /// Since when this instance's own calls fail. It says nothing about the
  /// store's availability to others; see StoreAvailability.
  std::optional<Instant> failing_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_WATCHER_H_
