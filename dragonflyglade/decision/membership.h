#ifndef DRAGONFLYGLADE_DECISION_MEMBERSHIP_H_
#define DRAGONFLYGLADE_DECISION_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// State of an instance in the failure detector.
enum class MemberState {
  kAlive = 0,
  kSuspect = 1,  ///< did not respond; can still refute the suspicion
  kDead = 2,     ///< did not refute within the suspicion timeout
};

/// Name, addresses and location of an instance.
struct MemberInfo {
  std::string name;
  std::string address;  ///< IP number
  int peer_port = 0;
  int caller_port = 0;
  std::string zone;  ///< availability zone
};

/// What is known of one instance, as heartbeats carry it. Of two for the same
/// instance, the one with the higher (incarnation, sequence, state) is newer.
struct MemberStatus {
  MemberInfo info;
  std::int64_t incarnation = 0;  ///< start time of its process, in µs
  std::int64_t sequence = 0;     ///< increased by the instance itself only
  MemberState state = MemberState::kAlive;
  bool leaving = false;   ///< finishes its requests and then exits
  int load_permille = 0;  ///< share of its request slots in use
};

/// One instance on the platform's list.
struct ListedInstance {
  MemberInfo info;
  bool leaving = false;
};

/// The platform's list of instances at one version.
struct InstanceList {
  std::int64_t version = 0;
  std::vector<ListedInstance> instances;
};

/// Intervals and fan-out of the failure detector.
struct MembershipOptions {
  /// Interval between the heartbeats that an instance sends.
  absl::Duration period = absl::Milliseconds(300);
  /// Lower bound of that interval in a large fleet.
  absl::Duration large_fleet_period = absl::Milliseconds(500);
  /// Time that a suspect has in a small fleet to refute before it is declared
  /// dead. Grows with log2 of the fleet's size, as does the time that an update
  /// takes to reach all instances.
  absl::Duration suspicion = absl::Seconds(3);
  /// How long a dead instance that is not on the platform's list is remembered.
  absl::Duration forget_after = absl::Seconds(60);
  /// Most updates that one heartbeat carries.
  std::size_t updates_per_message = 4;
  /// An update is sent this many times log2 of the fleet's size.
  int spread_factor = 2;
};

/// The instances of the fleet, known from the platform's list and from
/// heartbeats, and a failure detector in the manner of SWIM.
///
/// Each period, an instance probes one other in random order. If that does not
/// respond, other instances probe it before it is suspected; a suspect that
/// hears of the suspicion refutes it. The cost per instance does not grow with
/// the fleet.
/// Thread-safe.
class Membership {
 public:
  Membership(MemberStatus self, MembershipOptions options, Clock clock,
             std::uint64_t seed);

  /// Applies the platform's list of instances, unless it is older than the
  /// current one.
  void ApplyInstanceList(const InstanceList& list);

  /// The instance to send the next heartbeat to; nothing if no other instance
  /// is known.
  std::optional<MemberStatus> NextToProbe();

  /// Up to count instances that are alive, chosen at random, without this one
  /// and the one named except.
  std::vector<MemberStatus> SampleAlive(std::size_t count,
                                        std::string_view except);

  /// Returns the updates to send with the next heartbeat to an instance, and
  /// counts them as sent.
  std::vector<MemberStatus> UpdatesFor(std::string_view to);

  /// Applies a heartbeat: what its sender says of itself, and the updates that
  /// it passes on.
  void Receive(const MemberStatus& sender,
               absl::Span<const MemberStatus> updates);

  /// Suspects an instance that responded neither to this instance's probe nor
  /// to those of others.
  void ReportProbeFailure(std::string_view name);

  /// The interval between heartbeats at the fleet's present size.
  absl::Duration Period() const;

  /// Declares suspects dead whose suspicion timeout has passed, and forgets
  /// instances that have been dead for long and are not listed.
  void Tick();

  /// Announces that this instance is leaving.
  void Leave();

  /// Sets the ports that this instance announces, once they are bound.
  void SetPorts(int peer_port, int caller_port);

  /// Sets the load that this instance announces, in permille.
  void SetLoad(int load_permille);

  /// What this instance announces of itself.
  MemberStatus Self() const;

  /// All known instances, including this one.
  std::vector<MemberStatus> All() const;

  /// Names of the instances, including this one, that are neither dead nor
  /// leaving. Listed instances count before their first heartbeat, so that all
  /// instances soon agree on the names.
  std::vector<std::string> ActiveNames() const;

  /// An instance by name.
  std::optional<MemberStatus> Find(std::string_view name) const;

  /// The newest platform list received.
  InstanceList List() const;

  /// How many instances the list names, without this one and those that are
  /// leaving, and how many of these are alive.
  std::pair<int, int> CountListedAndAlive() const;

 private:
  struct Member {
    MemberStatus status;
    Instant state_since;  ///< when it entered its present state
  };
  /// An update that still has to be sent to other instances.
  struct QueuedUpdate {
    std::string name;
    int times_sent = 0;
    bool urgent = false;  ///< a suspicion, failure, refutation or departure
  };

  /// Applies an update if it is newer than what is known.
  /// @return whether it was applied
  bool Apply(const MemberStatus& status) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  /// Overrules an update that says this instance is suspect or dead.
  void Refute(const MemberStatus& status) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  /// Queues an update to be sent to other instances.
  void Queue(const MemberStatus& status) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void SetState(Member& member, MemberState state)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  /// The suspicion timeout at the fleet's present size.
  absl::Duration SuspicionTimeout() const ABSL_SHARED_LOCKS_REQUIRED(mutex);
  bool IsListed(std::string_view name) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  const MembershipOptions options;
  const Clock clock;
  mutable absl::Mutex mutex;
  MemberStatus self ABSL_GUARDED_BY(mutex);
  std::map<std::string, Member, std::less<>> members ABSL_GUARDED_BY(mutex);
  InstanceList list ABSL_GUARDED_BY(mutex);
  std::vector<QueuedUpdate> queue ABSL_GUARDED_BY(mutex);
  /// Instances to be probed in the current round, the last one first.
  std::vector<std::string> round ABSL_GUARDED_BY(mutex);
  std::mt19937_64 random ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_MEMBERSHIP_H_
