#ifndef DRAGONFLYGLADE_GATEWAY_EARLIER_VERSIONS_H_
#define DRAGONFLYGLADE_GATEWAY_EARLIER_VERSIONS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// Finds out, at the process's start, which software versions served before it:
/// by the VersionRecord, and by the store's history since that was written.
/// Used by one event loop.
class EarlierVersions {
 public:
  using TimeOfDay = std::function<absl::Time()>;

  EarlierVersions(boost::asio::io_context& context, StoreClient& store,
                  const WireFormat& wire, FleetState& fleet,
                  const StoreSyncState& sync_state, EventLog& log, Clock clock,
                  TimeOfDay time_of_day);

  /// Reads the history after the first listing. Runs until it is done.
  boost::asio::awaitable<void> Run();

  /// Whether the fleet state has what could be found out.
  bool AreKnown() const { return this->are_known; }

  /// Waits until AreKnown, for a store call's time at most.
  boost::asio::awaitable<void> AwaitKnown();

 private:
  /// Complete up to a revision, unless the store has discarded a part.
  struct History {
    std::vector<TargetRecord> targets;
    bool is_complete = false;
  };

  boost::asio::awaitable<void> AwaitListing();
  boost::asio::awaitable<History> Read(std::uint64_t after);
  void AddTargets(const StoreEvents& events, History& history) const;
  void Apply(const VersionRecord& record, const History& history);
  void SetKnown();

  boost::asio::io_context& context;
  StoreClient& store;
  const WireFormat& wire;
  FleetState& fleet;
  const StoreSyncState& sync_state;
  EventLog& log;
  const Clock clock;
  const TimeOfDay time_of_day;
  bool are_known = false;
  AsyncCondition became_known;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_EARLIER_VERSIONS_H_
