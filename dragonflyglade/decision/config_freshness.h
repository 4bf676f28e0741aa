#ifndef DRAGONFLYGLADE_DECISION_CONFIG_FRESHNESS_H_
#define DRAGONFLYGLADE_DECISION_CONFIG_FRESHNESS_H_

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// How current the local configuration is, which decides whether new work is
/// admitted.
enum class ConfigFreshnessState {
  kFresh,          ///< known to be current within the bound; admit
  kStoreOutage,    ///< no instance reaches the key-value service; admit
  kPartitioned,    ///< other instances may have a newer one; refuse new work
  kNeverComplete,  ///< no complete configuration was ever received; refuse
};

/// How many of the instances that the platform lists this instance reaches.
struct PeerReachability {
  int listed_peers = 0;     ///< listed, not leaving, other than this instance
  int reachable_peers = 0;  ///< of those, how many respond to heartbeats
};

/// Tracks when the configuration was last known to be current.
/// Thread-safe.
class ConfigFreshness {
 public:
  /// @param bound age up to which the configuration counts as fresh
  ConfigFreshness(absl::Duration bound, Clock clock);

  /// Records that the configuration was current at this time.
  void MarkCurrentAt(Instant at);

  /// Time since the configuration was last known to be current; infinite if it
  /// never was.
  absl::Duration Age() const;

  /// Decides whether new work may be admitted.
  ConfigFreshnessState StateFor(const PeerReachability& reach) const;

 private:
  const absl::Duration bound;
  const Clock clock;
  mutable absl::Mutex mutex;
  Instant confirmed ABSL_GUARDED_BY(mutex) = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CONFIG_FRESHNESS_H_
