#ifndef DRAGONFLYGLADE_DECISION_CONFIG_FRESHNESS_H_
#define DRAGONFLYGLADE_DECISION_CONFIG_FRESHNESS_H_

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Whether new work may be admitted under the configuration at hand.
enum class ConfigFreshnessState {
  kFresh,          ///< confirmed against the key-value service within the bound
  kStoreOutage,    ///< nobody reaches the key-value service; serve the last one
  kCutOff,         ///< others may follow a newer configuration; refuse new work
  kNeverComplete,  ///< no configuration was ever complete here
};

/// How the instance stands among those that the platform lists.
struct PeerReachability {
  int listed_peers = 0;     ///< listed, not leaving, other than self
  int reachable_peers = 0;  ///< of those, how many answer heartbeats
};

/// Tracks when the configuration was last known to be the newest.
/// Thread-safe.
class ConfigFreshness {
 public:
  /// @param bound age up to which the configuration counts as fresh
  ConfigFreshness(absl::Duration bound, Clock clock);

  /// The configuration was the newest at this instant.
  void ConfirmedAt(Instant at);

  /// Time since the configuration was last known to be the newest; infinite
  /// if it never was.
  absl::Duration Age() const;

  /// Decides whether to admit new work.
  ConfigFreshnessState Right(const PeerReachability& reach) const;

 private:
  const absl::Duration bound;
  const Clock clock;
  mutable absl::Mutex mutex;
  Instant confirmed ABSL_GUARDED_BY(mutex) = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CONFIG_FRESHNESS_H_
