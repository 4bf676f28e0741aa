#ifndef DRAGONFLYGLADE_INSTANCE_SETTINGS_H_
#define DRAGONFLYGLADE_INSTANCE_SETTINGS_H_

#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/caller/call_context.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/instance/placement_options.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/peer/peer_client.h"
#include "dragonflyglade/store/kv_client.h"
#include "dragonflyglade/target/dispatcher.h"
#include "dragonflyglade/target/engine_client.h"

namespace dragonflyglade {

/// Periods of an instance's background work: re-reading the configuration,
/// fetching the instance and target lists, polling target load reports, and
/// updating allotments.
struct Periods {
  absl::Duration config_reread = absl::Seconds(1);
  absl::Duration discovery = absl::Seconds(1);
  absl::Duration reports = absl::Milliseconds(500);
  absl::Duration allotments = absl::Milliseconds(500);
};

/// One instance's settings, read from JSON.
struct Settings {
  std::string name;
  std::string zone;  ///< availability zone
  Endpoint caller_listen;
  Endpoint peer_listen;
  Endpoint operator_listen;
  Endpoint discovery;  ///< service that lists the instances and targets
  KvOptions kv;
  PeerOptions peers;
  TargetCallOptions target_calls;
  TargetOptions targets;
  DispatcherOptions dispatch;
  RateLimiterOptions rate_limiter;
  MembershipOptions membership;
  CallerLimits limits;
  PlacementOptions placement;
  Periods periods;
  LogOptions log;
  int threads = 128;  ///< that serve callers
  int config_relays = 2;
  absl::Duration max_config_age = absl::Seconds(5);
  absl::Duration claim_retention = absl::Hours(24);
  /// How long a caller may use the instance that was selected for it.
  absl::Duration selection_lifetime = absl::Seconds(10);
  absl::Duration drain_timeout = absl::Minutes(10);
};

/// Reads settings from JSON text.
/// Errors: kInvalidSettings, with the path, expected and found value of each
/// problem.
Result<Settings> ParseSettings(std::string_view text);

/// Reads settings from a file. Errors: those of ParseSettings, and
/// kUnknownRecord if the file cannot be read.
Result<Settings> ReadSettings(const std::string& path);

/// Reads a whole file. Errors: kUnknownRecord if it cannot be read.
Result<std::string> ReadFile(const std::string& path);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_SETTINGS_H_
