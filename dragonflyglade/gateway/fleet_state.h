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
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/instance_choice.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/recent_changes.h"
#include "dragonflyglade/gateway/signal.h"
#include "dragonflyglade/gateway/spend_record.h"
#include "dragonflyglade/gateway/store_types.h"
#include "dragonflyglade/gateway/target_state.h"
#include "dragonflyglade/gateway/wire_format.h"

namespace dragonflyglade::gateway {

/// Who holds the duty of placing models, according to the store.
struct LeaderRecord {
  InstanceRecord instance;
  std::uint64_t lease = 0;  ///< that the entry is under
  std::uint64_t revision = 0;
};

/// What this instance believes of configuration, targets and instances: a
/// reading of the store, where each key moves forward by its revision only.
/// One event loop.
class FleetState {
 public:
  FleetState(boost::asio::io_context& context, const WireFormat& wire,
             Clock clock, EventLog& log);

  /// A key was read or changed. Older revisions than the last one known of
  /// the key change nothing.
  void Apply(const StoreItem& item);
  void ApplyDeleted(std::string_view key, std::uint64_t revision);

  /// All keys of a complete listing: what is missing from it is gone.
  void ApplyListing(absl::Span<const StoreItem> items,
                    std::uint64_t store_revision);

  /// Whether a listing was applied since the start of the process.
  bool WasListed() const { return this->listed_before; }

  /// The store answers again after it did not. Targets that are then missing
  /// are believed in for a moment: entries lapse while the store is away, and
  /// living targets enter themselves again.
  void HandleStoreRecovery();

  /// Drops targets whose time of grace is over.
  void RemoveExpiredTargets();

  /// The configuration in force; null until one is known.
  std::shared_ptr<const GatewayConfig> Config() const { return this->config; }

  /// The targets of a service, leaving ones among them.
  absl::Span<const std::shared_ptr<TargetState>> Targets(
      std::string_view service) const;
  std::shared_ptr<TargetState> Target(std::string_view id) const;
  void ForEachTarget(const std::function<void(TargetState&)>& visit) const;

  const std::map<std::string, InstanceRecord, std::less<>>& Instances() const {
    return this->instances;
  }
  /// The instances that callers are sent to, the strongest first.
  const std::vector<const InstanceRecord*>& ListedInstances() const {
    return this->Chosen().listed;
  }
  bool IsListed(std::string_view instance) const;
  /// The instances that follow the store for all others: the holder of the
  /// placing duty, and in a large fleet the strongest ones beside it.
  const std::vector<const InstanceRecord*>& RelayInstances() const {
    return this->Chosen().followers;
  }
  bool IsRelayInstance(std::string_view instance) const;
  /// All instances by strength; ties are broken by a hash with the key.
  std::vector<const InstanceRecord*> InstancesByStrength(
      std::string_view key) const;
  const std::optional<LeaderRecord>& Leader() const { return this->duty; }
  /// When the duty was last taken or let go.
  std::uint64_t LeaderRevision() const { return this->duty_revision; }

  /// What the store said that the fleet had spent of quotas, when this process
  /// first read it.
  const std::optional<SpendRecord>& InitialSpendRecord() const {
    return this->spent_before;
  }

  /// The newest revision of a change that must be followed at once: all but
  /// changes of which models and adapters a target holds.
  std::uint64_t UrgentRevision() const { return this->urgent_revision; }

  /// The urgent changes seen lately.
  const RecentChanges& RecentUrgentChanges() const { return this->recent; }

  /// Notified at each change.
  Signal& Changed() { return this->changed; }

  /// The keys of our own.
  static std::string InstanceKey(std::string_view name);
  static constexpr std::string_view kLeaderKey =
      "dragonflyglade/duty/placement";
  /// See SpendRecord. Read by a new holder of the duty and at the start.
  static constexpr std::string_view kSpendsKey = "dragonflyglade/spends";

 private:
  bool IsNewer(std::string_view key, std::uint64_t revision);
  void ApplyConfig(const StoreItem& item);
  bool ApplyTarget(const StoreItem& item);
  void NoteUrgent(StoreEvent event);
  bool IsUrgent(const TargetRecord& record) const;
  void ApplyInstance(const StoreItem& item);
  void ApplyDuty(const StoreItem& item);
  void ApplySpends(const StoreItem& item);
  void DropTarget(std::string_view id, std::string_view why);
  void RemoveTarget(std::string_view id);
  /// Instances chosen from all that there are.
  struct Choice {
    std::vector<const InstanceRecord*> listed;
    std::vector<const InstanceRecord*> followers;
  };

  const Choice& Chosen() const;
  std::vector<const InstanceRecord*> ChooseFollowers() const;
  std::vector<InstanceCandidate> Offers() const;
  std::vector<const InstanceRecord*> Records(
      absl::Span<const std::size_t> order) const;
  bool HasPrefix(std::string_view key, std::string_view prefix) const;

  const WireFormat& wire;
  const Clock clock;
  EventLog& log;
  Signal changed;
  std::shared_ptr<const GatewayConfig> config;
  std::map<std::string, std::uint64_t, std::less<>> revisions;
  std::map<std::string, std::shared_ptr<TargetState>, std::less<>> targets;
  std::map<std::string, std::vector<std::shared_ptr<TargetState>>, std::less<>>
      by_service;
  std::map<std::string, InstanceRecord, std::less<>> instances;
  /// Made when asked for, since a listing brings hundreds of instances one by
  /// one; nothing after a change of the instances or of the duty.
  mutable std::optional<Choice> choice;
  std::optional<SpendRecord> spent_before;
  bool listed_before = false;  ///< a listing was applied
  std::optional<LeaderRecord> duty;
  std::uint64_t duty_revision = 0;
  std::optional<Instant> returned_at;
  std::uint64_t urgent_revision = 0;
  RecentChanges recent;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_FLEET_STATE_H_
