#ifndef DRAGONFLYGLADE_DECISION_FRESHNESS_H_
#define DRAGONFLYGLADE_DECISION_FRESHNESS_H_

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// How current the local configuration is, which decides whether new work is
/// admitted.
enum class AdmissionRight {
  kFresh,       ///< known to be current within the bound; admit
  kOutage,      ///< no instance reaches the key-value service; admit
  kCutOff,      ///< other instances may have a newer one; refuse new work
  kNeverReady,  ///< no complete configuration was ever received; refuse
};

/// How many of the instances that the platform lists this instance reaches.
struct Reach {
  int listed_others = 0;     ///< listed, not leaving, other than this instance
  int reachable_others = 0;  ///< of those, how many respond to heartbeats
};

/// Tracks when the configuration was last known to be current.
/// Thread-safe.
class Freshness {
 public:
  /// @param bound age up to which the configuration counts as fresh
  Freshness(absl::Duration bound, Clock clock);

  /// Records that the configuration was current at this time.
  void ConfirmedAt(Instant at);

  /// Time since the configuration was last known to be current; infinite if it
  /// never was.
  absl::Duration Age() const;

  /// Decides whether new work may be admitted.
  AdmissionRight Right(const Reach& reach) const;

 private:
  const absl::Duration bound;
  const Clock clock;
  mutable absl::Mutex mutex;
  Instant confirmed ABSL_GUARDED_BY(mutex) = -absl::InfiniteDuration();
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_FRESHNESS_H_
