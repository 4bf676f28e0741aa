#ifndef DRAGONFLYGLADE_GATEWAY_STORE_FOLLOWER_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/store_link.h"
#include "dragonflyglade/gateway/store_news.h"

namespace dragonflyglade::gateway {

/// Keeps the fleet state at the store's newest revision: lists once, then
/// waits for changes; lists again when the history it needs is gone.
///
/// Waits are short. A watch on a connection that went silent looks like a
/// store where nothing happens, and only an answer that fails to come tells
/// the two apart. While the holder of the placing duty follows the store and
/// says so, this instance asks only when the holder has seen a change, or
/// after a longer while: calls then grow with changes, not with instances
/// times time. One event loop.
class StoreFollower {
 public:
  StoreFollower(boost::asio::io_context& context, StoreLink& store,
                FleetState& fleet, StoreNews& news, EventLog& log, Clock clock);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

  /// Whether the last call was answered.
  bool InContact() const { return !this->away_since.has_value(); }
  /// The revision that the state stands at.
  std::uint64_t Revision() const { return this->revision; }

 private:
  boost::asio::awaitable<bool> List();
  boost::asio::awaitable<bool> Watch();
  boost::asio::awaitable<void> WaitForHolder();
  bool HolderKnows() const;
  bool StoreStayed() const;
  void Heard();
  boost::asio::awaitable<void> NotHeard(std::string_view why);

  boost::asio::io_context& context;
  StoreLink& store;
  FleetState& fleet;
  StoreNews& news;
  EventLog& log;
  const Clock clock;
  std::uint64_t revision = 0;
  std::optional<Instant> away_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_FOLLOWER_H_
