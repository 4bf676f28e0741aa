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

/// A target in the platform's list of targets.
struct ListedTarget {
  std::string name;
  std::string address;  ///< IP number
  int port = 0;
  std::string zone;  ///< availability zone
  std::string pool;
  bool leaving = false;
};

/// A target's report of its load, which arrives with a delay.
struct LoadReport {
  double queued_tokens = 0;  ///< not yet processed, from all instances
  int running = 0;           ///< requests in its batch or waiting for it
  int slots = 0;             ///< requests it runs at once; 0 if not reported
  std::string boot_id;       ///< changes when the target restarts
  std::string role;          ///< such as prefill; empty if not reported
  std::set<std::string> resident;  ///< models and adapters in memory
  absl::Duration lag;              ///< age of the report when it arrived
};

/// Limits on how targets are chosen and ejected.
struct TargetOptions {
  int max_in_flight = 16;     ///< requests of this instance at one target
  int failures_to_eject = 3;  ///< consecutive failures
  /// Duration of the first ejection. Each further one lasts twice as long.
  absl::Duration ejection = absl::Seconds(5);
  absl::Duration max_ejection = absl::Seconds(60);
  /// Time over which the limit of requests in flight grows back to
  /// max_in_flight after an ejection.
  absl::Duration recovery_ramp = absl::Seconds(10);
  /// How long a target that was marked as leaving gets no requests.
  absl::Duration leaving_mark_ttl = absl::Seconds(60);
  /// Added to the cost of a target in another availability zone.
  double zone_penalty_tokens = 200;
  /// Subtracted from the cost of a target that is likely to have the prompt's
  /// prefix in its cache.
  double prefix_bonus_tokens = 300;
  /// How long a target is assumed to have a prefix cached after the prefix was
  /// last recorded for it.
  absl::Duration prefix_hint_ttl = absl::Seconds(5);
};

/// What a request requires of a target.
struct TargetRequirements {
  std::string pool;
  std::string model;         ///< empty for plain services
  std::string adapter;       ///< empty for none
  std::string zone;          ///< this instance's availability zone
  std::uint64_t prefix = 0;  ///< hash of the prompt's prefix; 0 for none
  double tokens = 0;
  std::set<std::string> avoid;  ///< targets that failed this request already
};

/// A reservation for one request at a target, to be released by
/// TargetRegistry::ReleaseTarget.
struct TargetReservation {
  std::string target;
  std::string pool;
  std::string address;
  int port = 0;
  double tokens = 0;
};

/// Why a reservation failed.
enum class ReservationError {
  kBusy,         ///< a suitable target is at its limit; the request may wait
  kUnreachable,  ///< all suitable targets are ejected, leaving or to be avoided
  kNotResident,  ///< no target has the model and adapter in memory
  kUnknownPool,  ///< the pool has no targets
};

/// How a request at a target ended. kTargetFault counts towards the ejection of
/// the target; kNeutral says nothing about it, e.g. if the caller disconnected.
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

/// Knows the targets and their load, and chooses a target for each request.
/// Thread-safe; the pools are distributed over shards that have a lock each.
class TargetRegistry {
 public:
  TargetRegistry(TargetOptions options, Clock clock, std::uint64_t seed);

  /// Applies the platform's list of targets.
  /// @param version lists older than the newest one applied are ignored
  void ApplyTargetList(std::int64_t version,
                       const std::vector<ListedTarget>& list);

  /// Applies a target's load report. Ignored if the target is not known.
  void ApplyLoadReport(std::string_view pool, std::string_view target,
                       LoadReport report);

  /// Marks a target as leaving, even if the list does not say so.
  /// @param age time since it was first seen leaving
  void MarkLeaving(std::string_view target,
                   absl::Duration age = absl::ZeroDuration());

  /// The targets marked as leaving and the time since each was first seen
  /// leaving, to be sent to other instances.
  std::map<std::string, absl::Duration> LeavingTargets() const;

  /// Sets the number of instances that send requests to the same targets.
  void SetInstanceCount(int instances);

  /// Reserves a slot for a request at the best target, or tells why that
  /// failed.
  std::variant<TargetReservation, ReservationError> ReserveTarget(
      const TargetRequirements& wanted);

  /// Releases a reservation when the request at the target has ended.
  void ReleaseTarget(const TargetReservation& reservation,
                     RequestOutcome outcome);

  /// Records that a target has the prefix in its cache. The information is a
  /// hint: it may be late or incomplete.
  void RecordCachedPrefix(std::string_view pool, std::string_view target,
                          std::uint64_t prefix);

  /// Records that a target no longer has the prefix in its cache.
  void ForgetCachedPrefix(std::string_view pool, std::string_view target,
                          std::uint64_t prefix);

  /// The state of all targets of all pools.
  std::vector<TargetStatus> Status() const;

 private:
  struct Target {
    ListedTarget listed;
    LoadReport report;
    Instant report_at = -absl::InfiniteDuration();
    int in_flight = 0;
    int in_flight_at_report = 0;
    /// Slots that were free at the last report and that this instance may use
    /// beyond its equal share.
    int spare_slots = 0;
    double outstanding = 0;
    int failures = 0;
    int ejections = 0;
    Instant ejected_until = -absl::InfiniteDuration();
    /// Prefixes in its cache and when each was last recorded.
    std::map<std::uint64_t, Instant> prefixes;
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
  int InFlightLimit(const Target& target, Instant now) const;
  bool HasFreeSlot(const Target& target, Instant now) const;
  bool IsLikelyCached(const Target& target, std::uint64_t prefix,
                      Instant now) const;
  static std::string PreferredTarget(
      const std::map<std::string, Target, std::less<>>& targets,
      const TargetRequirements& wanted);
  double EstimatedRequests(const Target& target, Instant now) const;
  double Cost(const Target& target, const TargetRequirements& wanted,
              Instant now) const;

  const TargetOptions options;
  const Clock clock;
  std::array<Shard, kShards> shards;
  std::atomic<int> instance_count{1};
  mutable absl::Mutex list_mutex;
  std::int64_t list_version ABSL_GUARDED_BY(list_mutex) = -1;
  mutable absl::Mutex leaving_mutex;
  std::map<std::string, Instant, std::less<>> leaving_since
      ABSL_GUARDED_BY(leaving_mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_REGISTRY_H_
