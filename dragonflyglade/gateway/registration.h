#ifndef DRAGONFLYGLADE_GATEWAY_REGISTRATION_H_
#define DRAGONFLYGLADE_GATEWAY_REGISTRATION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/target_paths.h"

namespace dragonflyglade::gateway {

/// Reads the steady and the boot clock.
ClockReadings ReadClocks();

/// The durations of store leases.
struct LeaseDurations {
  absl::Duration listed = absl::Seconds(2);    ///< if callers are sent here
  absl::Duration unlisted = absl::Seconds(8);  ///< if they are not
};

/// Keeps this instance's entry in the store under a lease, and acquires the
/// leader's entry under the same lease when there is no leader. Used by one
/// event loop.
class Registration {
 public:
  Registration(boost::asio::io_context& context, StoreClient& store,
               FleetState& fleet, LeaderLease& leader_lease,
               const TargetPaths& paths, InstanceRecord self,
               LeaseDurations lease_durations, EventLog& log, Clock clock);

  /// Runs until Leave.
  boost::asio::awaitable<void> Run();

  /// Removes this instance's entry from the store, and the leader's entry if
  /// this instance holds it. Retries until the store confirms it.
  boost::asio::awaitable<void> Leave();

 private:
  /// A leader's entry of this instance that it has given up.
  struct AbandonedEntry {
    std::uint64_t revision = 0;
    bool is_removed = false;  ///< as far as known
  };

  boost::asio::awaitable<void> WaitForListing();
  boost::asio::awaitable<void> RequestLease();
  boost::asio::awaitable<void> WriteEntry();
  boost::asio::awaitable<void> Renew();
  boost::asio::awaitable<void> TryBecomeLeader();
  bool ShouldStepDown() const;
  void StepDown();
  boost::asio::awaitable<void> RemoveAbandonedEntry();
  bool HasLostEntry() const;
  boost::asio::awaitable<void> EndLease(std::uint64_t ended);
  bool HoldsLeaderEntry() const;
  void CheckLeadership();
  absl::Duration CandidacyDelay() const;
  absl::Duration WantedTtl() const;
  bool NeedsDifferentTtl() const;
  void HandleLeaseLoss();

  boost::asio::io_context& context;
  StoreClient& store;
  FleetState& fleet;
  LeaderLease& leader_lease;
  const TargetPaths& paths;
  const InstanceRecord self;
  const LeaseDurations lease_durations;
  EventLog& log;
  const Clock clock;
  std::uint64_t lease = 0;
  /// The previous lease, while this instance's entry may still hang on it.
  std::uint64_t superseded_lease = 0;
  std::uint64_t entry_revision = 0;  ///< of this instance's entry
  ClockReadings renewed_at;      ///< when the last successful renewal was sent
  absl::Duration granted_ttl;    ///< duration that the store granted
  absl::Duration requested_ttl;  ///< duration that was requested
  bool is_registered = false;
  bool leaving = false;
  std::optional<Instant> leaderless_since;
  /// The start of the isolation in which this instance gave up leadership.
  std::optional<Instant> stepped_down_in;
  std::optional<AbandonedEntry> abandoned;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REGISTRATION_H_
