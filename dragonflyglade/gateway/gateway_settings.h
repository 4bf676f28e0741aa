#ifndef DRAGONFLYGLADE_GATEWAY_GATEWAY_SETTINGS_H_
#define DRAGONFLYGLADE_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade::gateway {

/// The settings of a gateway process.
struct GatewaySettings {
  std::string instance;  ///< its name, unique among the instances
  std::string zone;
  Endpoint callers;    ///< requests
  Endpoint readiness;  ///< "is it ready"
  Endpoint directory;  ///< "which instances to use"
  Endpoint metrics;
  Endpoint peers;  ///< datagrams of other instances
  Endpoint store;
  double cores = 1;  ///< of the processor, fractions included
  double link_mbps = 1000;

  absl::Duration lease_ttl = absl::Seconds(2);
  /// The lease of an instance that callers are not sent to. Nobody waits for
  /// news of its end, and renewals of a large fleet are the store's main load.
  absl::Duration unlisted_lease_ttl = absl::Seconds(8);
  /// Orders of two holders of a duty to one target lie further apart.
  absl::Duration leader_handover_delay = absl::Seconds(3);
  /// From the signal to stop until the process must have ended.
  absl::Duration stop_within = absl::Seconds(8);
  /// How long callers may keep the answer to "which instances to use".
  absl::Duration directory_keep = absl::Seconds(2);

  /// Whether no process of the fleet has run before, so that nothing can
  /// have been spent of any quota.
  bool first_start = false;
  QuotaTolerance quota_allowance;
  double retry_share = 0.1;  ///< retries for each request
  double retry_slack = 10;   ///< retries over all instances in a window
  absl::Duration load_window = absl::Seconds(5);  ///< of the weight store
  double load_overage = 1;  ///< times the loads a second in a window
};

/// Reads and checks a settings file.
/// Errors: kInvalidSettings, naming each field that is missing or wrong.
Result<GatewaySettings> ReadGatewaySettings(const std::string& path);

/// Takes the limits of newer settings over, which may change while a process
/// runs. Addresses and names stay.
/// @return whether something differs that only a new process can take over
bool ApplyReloadableSettings(const GatewaySettings& newer,
                             GatewaySettings& settings);

/// The same as ReadGatewaySettings, from text.
Result<GatewaySettings> ParseGatewaySettings(std::string_view text);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_GATEWAY_SETTINGS_H_
