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

namespace dragonflyglade::gateway {

/// The steady and the boot clock now.
ClockReadings ReadClocks();

/// How long leases last.
struct LeaseDurations {
  absl::Duration listed = absl::Seconds(2);    ///< callers are sent here
  absl::Duration unlisted = absl::Seconds(8);  ///< they are not
};

/// Keeps this instance in the store under a lease, and takes the placing duty
/// under the same lease when nobody holds it. One event loop.
class Registration {
 public:
  Registration(boost::asio::io_context& context, StoreClient& store,
               FleetState& fleet, LeaderLease& duty, InstanceRecord self,
               LeaseDurations lease_durations, EventLog& log, Clock clock);

  /// Runs until Leave.
  boost::asio::awaitable<void> Run();

  /// Takes this instance out of the store and lets the duty go.
  boost::asio::awaitable<void> Leave();

 private:
  boost::asio::awaitable<void> WaitForListing();
  boost::asio::awaitable<void> Grant();
  boost::asio::awaitable<void> Enter();
  boost::asio::awaitable<void> Renew();
  boost::asio::awaitable<void> TakeDuty();
  bool DutyIsMine() const;
  void CheckDuty();
  absl::Duration TurnToTake() const;
  absl::Duration WantedLease() const;
  bool WantsAnotherLease() const;
  void LeaseEnded();

  boost::asio::io_context& context;
  StoreClient& store;
  FleetState& fleet;
  LeaderLease& duty;
  const InstanceRecord self;
  const LeaseDurations lease_durations;
  EventLog& log;
  const Clock clock;
  std::uint64_t lease = 0;
  ClockReadings renewed;     ///< when the last answered renewal was sent
  absl::Duration granted;    ///< by the store
  absl::Duration asked_for;  ///< of the store
  bool entered = false;
  bool leaving = false;
  std::optional<Instant> vacant_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REGISTRATION_H_
