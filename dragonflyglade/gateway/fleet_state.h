#ifndef DRAGONFLYGLADE_GATEWAY_FLEET_STATE_H_
#define DRAGONFLYGLADE_GATEWAY_FLEET_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/instance_choice.h"
#include "dragonflyglade/decision/store_availability.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/crash_record.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/recent_changes.h"
#include "dragonflyglade/gateway/spend_record.h"
#include "dragonflyglade/gateway/store_types.h"
#include "dragonflyglade/gateway/target_state.h"
#include "dragonflyglade/gateway/version_record.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// The leader's entry in the store.
struct LeaderRecord {
  InstanceRecord instance;
  std::uint64_t lease = 0;  ///< store lease that the entry is attached to
  std::uint64_t revision = 0;
};

/// How a change of the store reached this instance.
enum class ChangeSource { kStore, kRelay };

/// This instance's copy of the store: configuration, targets, instances and
/// leader. Each key changes only to a newer revision. Used by one event loop.
class FleetState {
 public:
  /// @param availability tells whether a target whose entry is removed may be
  ///   running: entries expire while the store is unavailable
  FleetState(boost::asio::io_context& context, const WireFormat& wire,
             const StoreAvailability& availability, Clock clock, EventLog& log);

  /// Applies a key that was read or changed. A revision that is not newer than
  /// the last one applied to the key has no effect.
  /// @param source how the change reached this instance, for the log
  void Apply(const StoreItem& item, ChangeSource source = ChangeSource::kStore);
  void ApplyDeleted(std::string_view key, std::uint64_t revision);

  /// Applies a complete listing; keys that are missing from it count as
  /// deleted.
  /// @param known_through the revision through which all urgent changes were
  ///   known before
  void ApplyListing(absl::Span<const StoreItem> items,
                    std::uint64_t store_revision,
                    std::uint64_t known_through = 0);

  /// Hashes of all keys that exist and whose changes are urgent.
  std::vector<std::int32_t> ExistingKeys() const;
  /// Removes the keys that did not exist at a revision.
  /// @param existing ExistingKeys of an instance that knows the revision
  /// @param known_through as for ApplyListing
  void RemoveOtherKeys(absl::Span<const std::int32_t> existing,
                       std::uint64_t revision, std::uint64_t known_through);

  /// The newest revision applied to a key; 0 if there is none.
  std::uint64_t AppliedRevision(std::string_view key) const;

  /// Whether a listing was applied since the start of the process.
  bool HasListing() const { return this->has_listing; }

  /// Removes the targets whose entries are missing, once running ones would
  /// have registered again or it is known that the store was available.
  void RemoveMissingTargets();

  /// The configuration in effect; null until one is known.
  std::shared_ptr<const GatewayConfig> Config() const { return this->config; }

  /// The targets of a service, including those that are leaving.
  absl::Span<const std::shared_ptr<TargetState>> Targets(
      std::string_view service) const;
  std::shared_ptr<TargetState> Target(std::string_view id) const;
  void ForEachTarget(const std::function<void(TargetState&)>& visit) const;

  /// Whether the operator has evacuated the availability zone: no request may
  /// be sent to its targets.
  bool IsEvacuated(std::string_view zone) const {
    return this->evacuated_zones.count(zone) > 0;
  }
  const std::set<std::string, std::less<>>& EvacuatedZones() const {
    return this->evacuated_zones;
  }
  /// Whether the service has targets and all of them are in evacuated zones.
  bool IsServiceEvacuated(std::string_view service) const;

  const std::map<std::string, InstanceRecord, std::less<>>& Instances() const {
    return this->instances;
  }
  /// The instances that callers are sent to, highest capacity first.
  const std::vector<const InstanceRecord*>& ListedInstances() const {
    return this->ChosenInstances().listed;
  }
  bool IsListed(std::string_view instance) const;
  /// The instances that watch the store and pass its changes on to all others:
  /// the leader, and in a large fleet the instances of highest capacity, too.
  const std::vector<const InstanceRecord*>& RelayInstances() const {
    return this->ChosenInstances().relays;
  }
  bool IsRelayInstance(std::string_view instance) const;
  /// All instances, highest capacity first; ties are broken by a hash of the
  /// name and the key.
  std::vector<const InstanceRecord*> InstancesByStrength(
      std::string_view key) const;
  const std::optional<LeaderRecord>& Leader() const { return this->leader; }
  /// The revision at which the leader's entry last changed or was removed.
  std::uint64_t LeaderRevision() const { return this->leader_revision; }

  /// The fleet's quota spending as the store had it when this process listed
  /// the store for the first time.
  const std::optional<SpendRecord>& InitialSpendRecord() const {
    return this->initial_spend_record;
  }

  /// The software versions of the service's targets, the present ones included.
  /// Complexity: linear in the targets of the service.
  ServedVersions& CurrentVersions(std::string_view service);
  /// Sets that no target served before this process started, since the whole
  /// system starts for the first time. To be called before all others.
  void SetFirstStart() { this->known_since = -absl::InfiniteDuration(); }
  /// Sets a function that is called when targets of a service begin to serve
  /// that have another version than the ones before.
  void OnSecondVersion(std::function<void(std::string_view service)> callback) {
    this->on_second_version = std::move(callback);
  }
  /// The versions that served alone, as the store had them when this process
  /// listed the store for the first time.
  const std::optional<VersionRecord>& InitialVersionRecord() const {
    return this->initial_version_record;
  }

  /// What crashes targets, as the store has it.
  const std::map<Suspect, RefusedSuspect>& CrashRecords() const {
    return this->crash_records;
  }
  /// Sets since when the suspect's record is known, if another instance told of
  /// it before the store did.
  void SetCrashRecordKnownSince(const Suspect& suspect, Instant since);
  /// Sets a function that is called when a crash record was removed from the
  /// store.
  void OnCrashRecordRemoved(
      std::function<void(const Suspect& suspect)> callback) {
    this->on_crash_record_removed = std::move(callback);
  }

  /// Sets a function that is called when the record of a target was read or
  /// removed; a removed one lists no models.
  void OnTargetRecord(std::function<void(const TargetRecord&)> callback) {
    this->on_target_record = std::move(callback);
  }

  /// The revision of the newest urgent change. A change is urgent unless it
  /// only concerns the adapters and the cached weights of a target.
  std::uint64_t UrgentRevision() const { return this->urgent_revision; }

  /// The latest urgent changes.
  const RecentChanges& RecentUrgentChanges() const { return this->recent; }

  /// Notified at each change.
  AsyncCondition& Changed() { return this->changed; }

  /// The keys that this program writes.
  static std::string InstanceKey(std::string_view name);
  static constexpr std::string_view kLeaderKey =
      "dragonflyglade/duty/placement";
  /// Key of the SpendRecord, read by a new leader and at the process's start.
  static constexpr std::string_view kSpendRecordKey = "dragonflyglade/spends";
  /// Key of the VersionRecord, read at the process's start.
  static constexpr std::string_view kVersionRecordKey =
      "dragonflyglade/versions";

 private:
  /// The newest change that was applied to a key.
  struct AppliedChange {
    std::uint64_t revision = 0;
    bool deleted = false;
  };

  bool IsNewer(std::string_view key, AppliedChange change);
  void ApplyConfig(const StoreItem& item, ChangeSource source);
  bool ApplyTarget(const StoreItem& item);
  void AddUrgentChange(StoreEvent event);
  bool IsUrgent(const TargetRecord& record) const;
  void ApplyInstance(const StoreItem& item);
  void ApplyLeader(const StoreItem& item);
  void ApplyEvacuation(const StoreItem& item);
  void EndEvacuation(std::string_view zone, std::uint64_t revision);
  void BeginWarmUp(std::string_view zone);
  void ApplySpends(const StoreItem& item);
  void ApplyVersions(const StoreItem& item);
  void ApplyCrashRecord(const Suspect& suspect, const StoreItem& item);
  void RemoveCrashRecord(const Suspect& suspect, std::uint64_t revision);
  ServedVersions& VersionsOf(std::string_view service);
  void RecordVersion(const TargetRecord& record);
  /// @return whether anything is new about the entry
  bool LeaveOut(const std::string& id, std::string why, std::uint64_t revision);
  void DropTarget(std::string_view id, std::string_view why);
  void RemoveTarget(std::string_view id);
  void KeepDeparted(std::shared_ptr<TargetState> target);
  /// @return null if no such target has left lately
  std::shared_ptr<TargetState> TakeDeparted(const std::string& id);
  /// Roles derived from the list of instances and the leader.
  struct Choice {
    std::vector<const InstanceRecord*> listed;
    std::vector<const InstanceRecord*> relays;
  };

  const Choice& ChosenInstances() const;
  std::vector<const InstanceRecord*> ChooseRelays() const;
  std::vector<InstanceCandidate> InstanceOffers() const;
  std::vector<const InstanceRecord*> Records(
      absl::Span<const std::size_t> order) const;
  bool HasPrefix(std::string_view key, std::string_view prefix) const;

  const WireFormat& wire;
  const StoreAvailability& availability;
  const Clock clock;
  Instant known_since;  ///< from when on the targets are known
  EventLog& log;
  AsyncCondition changed;
  std::shared_ptr<const GatewayConfig> config;
  std::map<std::string, AppliedChange, std::less<>> applied;  ///< by key
  std::map<std::string, std::shared_ptr<TargetState>, std::less<>> targets;
  std::map<std::string, std::vector<std::shared_ptr<TargetState>>, std::less<>>
      by_service;
  /// Why entries that name no target to use are left out, by id.
  std::map<std::string, std::string> left_out;
  /// A target whose record was removed.
  struct DepartedTarget {
    std::shared_ptr<TargetState> state;
    Instant at;
  };
  std::map<std::string, DepartedTarget, std::less<>> departed;  ///< by id
  std::map<std::string, InstanceRecord, std::less<>> instances;
  std::set<std::string, std::less<>> evacuated_zones;
  /// Computed on demand, since a listing adds hundreds of instances one by one.
  /// Reset when the instances or the leader change.
  mutable std::optional<Choice> choice;
  std::optional<SpendRecord> initial_spend_record;
  std::optional<VersionRecord> initial_version_record;
  /// By service.
  std::map<std::string, ServedVersions, std::less<>> served_versions;
  std::function<void(std::string_view)> on_second_version;
  std::map<Suspect, RefusedSuspect> crash_records;
  std::function<void(const Suspect&)> on_crash_record_removed;
  std::function<void(const TargetRecord&)> on_target_record;
  bool has_listing = false;  ///< whether a listing was applied
  std::optional<LeaderRecord> leader;
  std::uint64_t leader_revision = 0;
  std::uint64_t urgent_revision = 0;
  RecentChanges recent;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_FLEET_STATE_H_
