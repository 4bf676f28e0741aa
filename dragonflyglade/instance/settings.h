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

/// How often an instance does what nobody asked it to.
struct Periods {
  absl::Duration config_reread = absl::Seconds(1);
  absl::Duration lists = absl::Seconds(1);
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
  Endpoint lists;
  KvOptions kv;
  PeerOptions peers;
  TargetCallOptions target_calls;
  TargetOptions targets;
  DispatcherOptions dispatch;
  RateLimiterOptions shares;
  MembershipOptions membership;
  CallerLimits limits;
  PlacementOptions placement;
  Periods periods;
  LogOptions log;
  int threads = 128;
  int config_relays = 2;
  absl::Duration fresh_bound = absl::Seconds(5);
  absl::Duration claim_keep = absl::Hours(24);
  absl::Duration keep = absl::Seconds(10);  ///< of a which-instance answer
  absl::Duration drain_limit = absl::Minutes(10);
};

/// Reads settings from JSON text.
/// Errors: kInvalidSettings, naming each path, what was expected and found.
Result<Settings> ParseSettings(std::string_view text);

/// Reads settings from a file. Errors also: kUnknownRecord if it cannot be
/// read.
Result<Settings> ReadSettings(const std::string& path);

/// Reads a whole file. Errors: kUnknownRecord.
Result<std::string> ReadFile(const std::string& path);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_SETTINGS_H_
