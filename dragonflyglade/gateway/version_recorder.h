#ifndef DRAGONFLYGLADE_GATEWAY_VERSION_RECORDER_H_
#define DRAGONFLYGLADE_GATEWAY_VERSION_RECORDER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/earlier_versions.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/version_record.h"

namespace dragonflyglade::gateway {

/// As leader: writes to the store which software version serves alone, when
/// that changes, and now and then up to which revision. Used by one event loop.
class VersionRecorder {
 public:
  using TimeOfDay = std::function<absl::Time()>;

  VersionRecorder(boost::asio::io_context& context, StoreClient& store,
                  FleetState& fleet, const EarlierVersions& earlier_versions,
                  const StoreSyncState& sync_state,
                  const LeaderLease& leader_lease, Clock clock,
                  TimeOfDay time_of_day);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  bool MustWrite(const VersionRecord& record) const;
  VersionRecord CurrentRecord() const;
  boost::asio::awaitable<void> Write(VersionRecord record);

  boost::asio::io_context& context;
  StoreClient& store;
  FleetState& fleet;
  const EarlierVersions& earlier_versions;
  const StoreSyncState& sync_state;
  const LeaderLease& leader_lease;
  const Clock clock;
  const TimeOfDay time_of_day;
  std::optional<VersionRecord> last;  ///< the last one written as leader
  Instant written_at;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_VERSION_RECORDER_H_
