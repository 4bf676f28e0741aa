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

/// How an instance is judged.
enum class MemberState {
  kAlive = 0,
  kSuspect = 1,  ///< missed heartbeats; may still refute
  kDead = 2,
};

/// How to reach an instance and where it stands.
struct MemberInfo {
  std::string name;
  std::string address;  ///< IP number
  int peer_port = 0;
  int caller_port = 0;
  std::string zone;  ///< availability zone
};

/// One statement about an instance. The one with the higher
/// (incarnation, sequence, state) holds.
struct MemberStatus {
  MemberInfo info;
  std::int64_t incarnation = 0;  ///< the process start, in microseconds
  std::int64_t sequence = 0;     ///< raised by the instance itself only
  MemberState state = MemberState::kAlive;
  bool leaving = false;   ///< finishing its work before it exits
  int load_permille = 0;  ///< of its request slots in use
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

/// Paces of the failure detector.
struct MembershipOptions {
  /// How often an instance sends a heartbeat; a large fleet's at least.
  absl::Duration period = absl::Milliseconds(300);
  absl::Duration large_fleet_period = absl::Milliseconds(500);
  /// How long a suspect of a small fleet has to refute before it counts as
  /// dead; it grows with log2 of the fleet, as the time that news takes.
  absl::Duration suspicion = absl::Seconds(3);
  /// How long a dead instance that the list lacks is remembered.
  absl::Duration forget_after = absl::Seconds(60);
  /// How many statements go with one heartbeat.
  std::size_t updates_per_message = 4;
  /// How often each statement is passed on, times log2 of the fleet.
  int spread_factor = 2;
};

/// Who is in the fleet, from the platform's list and heartbeats.
///
/// Each round asks one instance in random order; one that does not answer is
/// asked by others before it is suspected, and a suspect that hears of it
/// refutes. The cost an instance does not grow with the fleet.
/// Thread-safe.
class Membership {
 public:
  Membership(MemberStatus self, MembershipOptions options, Clock clock,
             std::uint64_t seed);

  /// Takes the platform's list unless a newer one was taken.
  void TakeList(const InstanceList& list);

  /// The instance to send the next heartbeat to, if there is any other.
  std::optional<MemberStatus> NextToProbe();

  /// Up to count random live instances other than self and except.
  std::vector<MemberStatus> SampleAlive(std::size_t count,
                                        std::string_view except);

  /// The statements to send with a heartbeat to an instance.
  std::vector<MemberStatus> Updates(std::string_view to);

  /// Takes statements from a heartbeat. The sender itself was heard.
  void Receive(const MemberStatus& sender,
               absl::Span<const MemberStatus> updates);

  /// An instance answered neither directly nor through others.
  void ReportProbeFailure(std::string_view name);

  /// The time until the next heartbeat is due.
  absl::Duration Period() const;

  /// Turns suspects whose time is up into dead and forgets old dead.
  void Tick();

  /// Announces that this instance is leaving.
  void Leave();

  /// Sets the ports that this instance announces, once they are bound.
  void SetPorts(int peer_port, int caller_port);

  /// Sets the load that this instance announces, in permille.
  void SetLoad(int load_permille);

  /// What this instance says of itself.
  MemberStatus Self() const;

  /// All instances known, self included.
  std::vector<MemberStatus> All() const;

  /// Names of instances that are not dead and not leaving, self included.
  /// Those that the list names count before they are heard of, so that all
  /// instances soon agree on who is there.
  std::vector<std::string> Active() const;

  /// An instance by name.
  std::optional<MemberStatus> Find(std::string_view name) const;

  /// The newest platform list taken.
  InstanceList List() const;

  /// How many instances the list names besides self (leaving ones aside),
  /// and how many of them are alive.
  std::pair<int, int> CountListedAndAlive() const;

 private:
  struct Member {
    MemberStatus statement;
    Instant since;  ///< of its present state
  };
  struct Pending {
    std::string name;
    int times_sent = 0;
    bool urgent = false;  ///< a suspicion, a death, a refutation, a departure
  };

  bool TakeStatement(const MemberStatus& statement)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void Refute(const MemberStatus& statement)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void Queue(const MemberStatus& statement)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void Judge(Member& member, MemberState state)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  absl::Duration Suspicion() const ABSL_SHARED_LOCKS_REQUIRED(mutex);
  bool IsListed(std::string_view name) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  const MembershipOptions options;
  const Clock clock;
  mutable absl::Mutex mutex;
  MemberStatus self ABSL_GUARDED_BY(mutex);
  std::map<std::string, Member, std::less<>> members ABSL_GUARDED_BY(mutex);
  InstanceList list ABSL_GUARDED_BY(mutex);
  std::vector<Pending> pending ABSL_GUARDED_BY(mutex);
  std::vector<std::string> round ABSL_GUARDED_BY(mutex);
  std::mt19937_64 random ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_MEMBERSHIP_H_
