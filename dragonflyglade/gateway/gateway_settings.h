#ifndef DRAGONFLYGLADE_GATEWAY_GATEWAY_SETTINGS_H_
#define DRAGONFLYGLADE_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/gateway/caller_buffers.h"
#include "dragonflyglade/gateway/request_memory.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade::gateway {

/// The settings of a gateway process.
struct GatewaySettings {
  std::string instance;  ///< name of this instance, unique in the fleet
  std::string zone;
  Endpoint callers;         ///< listens for callers' requests
  Endpoint readiness;       ///< listens for readiness checks
  Endpoint directory;       ///< listens for queries of the list of instances
  Endpoint metrics;         ///< listens for scrapes of the metrics
  Endpoint peers;           ///< receives datagrams of other instances
  Endpoint store;           ///< address of the store
  double cores = 1;         ///< CPU cores of this process, may be fractional
  double link_mbps = 1000;  ///< network bandwidth in Mbit/s
  /// That this process may have open; if not stated, its own limit is asked.
  std::optional<std::size_t> descriptors;

  absl::Duration lease_ttl = absl::Seconds(2);
  /// Lease time of an instance that is not listed for callers. Nothing waits
  /// for the end of such a lease, and the lease renewals of a large fleet are
  /// the main load of the store, so it is longer.
  absl::Duration unlisted_lease_ttl = absl::Seconds(8);
  /// Minimum time between the orders of two successive leaders to one target.
  absl::Duration leader_handover_delay = absl::Seconds(3);
  /// Time from the signal to stop until the process must have ended.
  absl::Duration stop_within = absl::Seconds(8);
  /// How long callers may cache the list of instances.
  absl::Duration directory_keep = absl::Seconds(2);

  /// Whether the fleet has never run before, so that no quota can be spent.
  bool first_start = false;
  /// The time within which a new configuration must be in force.
  absl::Duration config_bound = absl::Seconds(2);
  QuotaTolerance quota_allowance;
  double retry_share = 0.1;  ///< retries per request
  double retry_slack = 10;   ///< further retries per window, in the whole fleet
  /// Window in which loads from the weight storage are counted.
  /// Interval at which targets renew their entries in the store. Read at the
  /// start only.
  absl::Duration target_heartbeat = absl::Milliseconds(1200);
  absl::Duration load_window = absl::Seconds(5);
  double load_overage = 1;  ///< factor on the loads that a window permits
  /// Of the requests to a target that warms up; see SlowStartLimit.
  double slow_start_overage = 1;
  double slow_start_slack = 0;
  CallerBufferLimits caller_buffers;
  /// Of all request bodies; their heads may take half as much beside them. See
  /// RequestMemory.
  std::size_t request_bodies_bytes = RequestMemory::kDefaultBodiesBytes;
  /// Whether engines are asked to keep copies of runs; see RunBackups.
  bool run_backups = false;
  /// Whether engines that state how fast they are are chosen by a learnt model;
  /// see ChooseEngine.
  bool engine_model = false;
  /// Whether target selection uses what is known of engines' prefix caches.
  bool prompt_cache = false;
  /// Whether engines' events of their prefix caches are read, too.
  bool prompt_cache_events = false;
};

/// Reads and checks a settings file.
/// Errors: kInvalidSettings, naming each field that is missing or wrong.
Result<GatewaySettings> ReadGatewaySettings(const std::string& path);

/// Copies those newer settings that may change while the process runs. Names,
/// addresses and the machine's capacity stay.
/// @return whether another setting differs, which takes effect after a restart
bool ApplyReloadableSettings(const GatewaySettings& newer,
                             GatewaySettings& settings);

/// Parses and checks the text of a settings file; errors as
/// ReadGatewaySettings.
Result<GatewaySettings> ParseGatewaySettings(std::string_view text);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_GATEWAY_SETTINGS_H_
