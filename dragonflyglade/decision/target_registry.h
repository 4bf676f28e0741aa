#ifndef DRAGONFLYGLADE_DECISION_TARGET_REGISTRY_H_
#define DRAGONFLYGLADE_DECISION_TARGET_REGISTRY_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// A target as the platform's list shows it.
struct ListedTarget {
  std::string name;
  std::string address;  ///< IP number
  int port = 0;
  std::string zone;  ///< availability zone
  std::string pool;
  bool leaving = false;
};

/// What a target says of its load. It lags.
struct LoadReport {
  double queued_tokens = 0;  ///< not yet processed, from all instances
  int running = 0;           ///< requests in its batch or waiting for it
  int slots = 0;             ///< requests it runs at once; 0 if not said
  std::string boot_id;       ///< changes when the target restarts
  std::string role;  ///< what part of the work it does; empty if not said
  std::set<std::string> resident;  ///< models and adapters in memory
  absl::Duration lag;  ///< how old the figures were when they arrived
};

/// Limits on how targets are chosen and set aside.
struct TargetOptions {
  int max_in_flight = 16;  ///< requests of this instance at one target
  int failures_to_eject = 3;
  absl::Duration ejection = absl::Seconds(5);
  absl::Duration max_ejection = absl::Seconds(60);
  /// Time over which a returned target's budget grows back.
  absl::Duration recovery_ramp = absl::Seconds(10);
  absl::Duration leaving_mark_ttl = absl::Seconds(60);
  double zone_penalty_tokens = 200;
  double prefix_bonus_tokens = 300;
  absl::Duration prefix_hint_ttl = absl::Seconds(5);
};

/// What a request asks of a target.
struct TargetRequirements {
  std::string pool;
  std::string model;         ///< empty for plain services
  std::string adapter;       ///< empty for none
  std::string zone;          ///< the asking instance's availability zone
  std::uint64_t prefix = 0;  ///< hash of the prompt's beginning; 0 for none
  double tokens = 0;
  std::set<std::string> avoid;  ///< targets that failed this request already
};

/// A place taken at a target; give it back by TargetRegistry::Finish.
struct TargetReservation {
  std::string target;
  std::string pool;
  std::string address;
  int port = 0;
  double tokens = 0;
};

/// Why there is no place.
enum class ReservationError {
  kBusy,         ///< suitable targets are at their limit; wait
  kUnreachable,  ///< suitable targets are ejected or leaving
  kNotResident,  ///< no target has the model
  kUnknownPool,  ///< the pool has no target at all
};

/// How a request at a target ended.
enum class RequestOutcome { kSucceeded, kTargetFault, kNeutral };

/// A target's state for status reports.
struct TargetStatus {
  ListedTarget listed;
  int in_flight = 0;
  double outstanding_tokens = 0;
  bool ejected = false;
  bool leaving = false;
  absl::Duration report_age;
  std::string boot_id;
  std::string role;
  std::set<std::string> resident;
};

/// The targets, how busy they are, and which one a request should go to.
/// Thread-safe; pools are spread over shards with a lock each.
class TargetRegistry {
 public:
  TargetRegistry(TargetOptions options, Clock clock, std::uint64_t seed);

  /// Takes the platform's list of targets.
  /// @param version older lists than the newest taken are ignored
  void TakeList(std::int64_t version, const std::vector<ListedTarget>& list);

  /// Takes a target's load report.
  void TakeReport(std::string_view pool, std::string_view target,
                  LoadReport report);

  /// Marks a target as leaving, whatever the list says.
  /// @param age how long ago it was first seen leaving
  void MarkLeaving(std::string_view target,
                   absl::Duration age = absl::ZeroDuration());

  /// Targets marked as leaving and for how long, to pass on to peers.
  std::map<std::string, absl::Duration> LeavingTargets() const;

  /// Says how many instances send requests to the same targets.
  void SetInstanceCount(int instances);

  /// Takes a place at the best target, or says why there is none.
  std::variant<TargetReservation, ReservationError> Take(
      const TargetRequirements& need);

  /// Gives a place back.
  void Finish(const TargetReservation& place, RequestOutcome outcome);

  /// Notes that a target holds the prefix in its cache. A hint only.
  void RecordCachedPrefix(std::string_view pool, std::string_view target,
                          std::uint64_t prefix);

  /// Notes that a target holds the prefix no longer.
  void ForgetCachedPrefix(std::string_view pool, std::string_view target,
                          std::uint64_t prefix);

  /// All targets of all pools.
  std::vector<TargetStatus> Status() const;

 private:
  struct Target {
    ListedTarget listed;
    LoadReport report;
    Instant report_at = -absl::InfiniteDuration();
    int in_flight = 0;
    int in_flight_at_report = 0;
    int spare = 0;  ///< slots that this instance may use beyond its part
    double outstanding = 0;
    int failures = 0;
    int ejections = 0;
    Instant ejected_until = -absl::InfiniteDuration();
    std::map<std::uint64_t, Instant> prefixes;  ///< and when last seen
  };
  struct Shard {
    mutable absl::Mutex mutex;
    // pool -> target -> state
    std::map<std::string, std::map<std::string, Target, std::less<>>,
             std::less<>>
        pools ABSL_GUARDED_BY(mutex);
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
  };
  static constexpr std::size_t kShards = 8;
  static constexpr std::size_t kMaxPrefixes = 4096;

  Shard& ShardOf(std::string_view pool);
  static Target* Find(Shard& shard, std::string_view pool,
                      std::string_view target)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard.mutex);
  bool IsMarkedLeaving(std::string_view target) const;
  bool IsEjected(const Target& target, Instant now) const;
  int Budget(const Target& target, Instant now) const;
  bool HasRoom(const Target& target, Instant now) const;
  bool LikelyCached(const Target& target, std::uint64_t prefix,
                    Instant now) const;
  static std::string PrefixHome(
      const std::map<std::string, Target, std::less<>>& targets,
      const TargetRequirements& need);
  double Occupancy(const Target& target, Instant now) const;
  double Cost(const Target& target, const TargetRequirements& need,
              Instant now) const;

  const TargetOptions options;
  const Clock clock;
  std::array<Shard, kShards> shards;
  std::atomic<int> sharers{1};
  mutable absl::Mutex list_mutex;
  std::int64_t list_version ABSL_GUARDED_BY(list_mutex) = -1;
  mutable absl::Mutex marks_mutex;
  std::map<std::string, Instant, std::less<>> marks
      ABSL_GUARDED_BY(marks_mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_REGISTRY_H_
