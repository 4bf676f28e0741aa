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

/// Keeps the fleet state at the store's newest revision: lists once, then
/// waits for changes; lists again when the history it needs is gone.
///
/// Waits are short. A watch on a connection that went silent looks like a
/// store where nothing happens, and only an answer that fails to come tells
/// the two apart. While an instance that follows the store speaks, and brings
/// the urgent changes, this one reads nothing: calls then do not grow with the
/// instances. One event loop.
class StoreWatcher {
 public:
  /// @param self the name of this instance
  StoreWatcher(boost::asio::io_context& context, StoreClient& store,
               FleetState& fleet, StoreSyncState& news, std::string self,
               EventLog& log, Clock clock);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

  /// Whether the last call was answered.
  bool IsStoreReachable() const { return !this->away_since.has_value(); }
  /// The revision that the state stands at, but for details of targets.
  std::uint64_t Revision() const { return this->revision; }

 private:
  boost::asio::awaitable<bool> List();
  boost::asio::awaitable<bool> Watch();
  boost::asio::awaitable<void> WaitWhileLed();
  bool HasLiveRelay() const;
  void SkipWhatIsKnown();
  absl::Duration PauseBetweenReads() const;
  bool StoreStayed() const;
  void Heard();
  boost::asio::awaitable<void> NotHeard(std::string_view why);

  boost::asio::io_context& context;
  StoreClient& store;
  FleetState& fleet;
  StoreSyncState& news;
  const std::string self;
  EventLog& log;
  const Clock clock;
  std::uint64_t revision = 0;
  /// Changes that are not urgent were left out up to the revision.
  bool lacks_details = false;
  std::optional<Instant> away_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_WATCHER_H_
