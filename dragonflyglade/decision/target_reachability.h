#ifndef DRAGONFLYGLADE_DECISION_TARGET_REACHABILITY_H_
#define DRAGONFLYGLADE_DECISION_TARGET_REACHABILITY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Whether a failed connection attempt was answered.
enum class ConnectError {
  kTimedOut,  ///< no answer
  kRefused,   ///< no process listens, or a device on the path reset it
};

/// Decides from the outcomes of one instance's own connection attempts whether
/// a target failed or the instance lost its network paths. Not synchronised.
///
/// Attempts to two targets that failed in a row, with none that succeeded
/// since, put the paths in doubt. Targets that have not failed are probed then:
/// the instance is isolated if these fail, too, and the failed targets have
/// ended if one accepts. A successful attempt to any target ends doubt and
/// isolation.
class TargetReachability {
 public:
  /// Records that a new connection to the target was established.
  /// @return the targets that refused a connection before, and of which the
  ///   success at this other target shows that their processes ended
  std::vector<std::string> RecordConnected(std::string_view target);

  /// Records that a connection attempt failed.
  /// @param others_remain whether the service has targets for probes, that is,
  ///   targets which have not failed lately; without any, two failures decide
  /// @return whether the instance is isolated from now on
  bool RecordConnectFailed(std::string_view target, ConnectError error,
                           Instant now, bool others_remain = false);

  /// Records that another instance, which has a path, was refused by the
  /// target, too: the target has ended, and its failure is no evidence.
  void RecordRefusedElsewhere(std::string_view target);

  /// Whether this instance has no path to any target, as far as it knows.
  bool IsIsolated() const { return this->isolated_since.has_value(); }
  /// Since when it is isolated; nothing if it is not.
  std::optional<Instant> IsolatedSince() const { return this->isolated_since; }

  /// Whether it is undecided if the targets or the paths failed.
  bool IsInDoubt() const { return this->doubt.has_value(); }
  /// Whether Review is to be called at short intervals.
  bool NeedsReview() const;
  /// Begins a doubt that was deferred, and ends one whose probes are overdue.
  /// The first call in a doubt starts the time that the probes have.
  /// @return whether the instance is isolated
  bool Review(Instant now);

  /// Whether a connection attempt to the target is likely to succeed.
  bool HasPath(std::string_view target, Instant now) const;

  /// Whether an attempt to connect to the target is among the failed ones since
  /// the last success of any.
  bool FailedLately(std::string_view target) const {
    return this->failures.find(target) != this->failures.end();
  }

  /// Records a request that is sent over a path of this instance.
  void RecordSent(Instant now) { this->waiting_since.insert(now); }
  /// Records that a request which was sent then waits no longer.
  void RecordEnded(Instant sent_at);
  /// Records that bytes of a response arrived from some target.
  void RecordReceived(Instant now) { this->last_received = now; }

  /// The number of targets to which to open a connection now to learn about the
  /// paths: after a refusal that no other attempt has explained yet, while
  /// requests wait and nothing arrives from any target, in doubt, and at
  /// intervals while the instance is isolated. Records the probes.
  int BeginProbes(Instant now);
  /// Records that the target is probed. Only failed probes count in a doubt:
  /// the connections that requests open lead to ended targets more often.
  void RecordProbe(std::string_view target);
  /// The same after the instance lost its paths to other targets.
  int BeginSuspicionProbes(Instant now);

 private:
  struct Failure {
    Instant at;
    ConnectError error = ConnectError::kTimedOut;
  };
  /// The paths or the failed targets are lost.
  struct Doubt {
    Instant since;
    std::optional<Instant> reviewed_since;
    std::set<std::string, std::less<>> open_probes;
    int failed_probes = 0;
  };

  void RemoveOldFailures(Instant now);
  void BeginDoubtIfDue(Instant now);
  absl::Duration ProbeTime() const;
  void EndDoubt(Instant now, bool others_remain);
  void SetIsolated(Instant now);
  bool IsSilent(Instant now) const;
  int BeginProbes(int probes, Instant now);
  int DoubtProbes() const;

  /// The last failure of each target since the last success of any.
  std::map<std::string, Failure, std::less<>> failures;
  /// A target that could not be connected to since its own last success.
  struct Unreachable {
    int failures = 0;
    Instant until;  ///< when an attempt is worthwhile again
  };
  std::map<std::string, Unreachable, std::less<>> unreachable;
  std::set<std::string, std::less<>> unexplained_refusals;
  std::optional<Instant> isolated_since;
  std::optional<Doubt> doubt;
  std::optional<Instant> last_doubt;  ///< the last one that a success ended
  int ended_doubts = 0;               ///< by successes, in a row
  std::optional<Instant> last_probe;
  std::multiset<Instant> waiting_since;  ///< when each request was sent
  Instant last_received;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_REACHABILITY_H_
