#include "dragonflyglade/gateway/fleet_state.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_join.h"

namespace dragonflyglade::gateway {
namespace {

constexpr std::string_view kInstanceKeyPrefix = "dragonflyglade/instances/";
// Longer than records of running targets are missing.
constexpr absl::Duration kDepartedLifetime = absl::Minutes(1);

std::int32_t HashOf(std::string_view key) {
  return static_cast<std::int32_t>(XXH64(key.data(), key.size(), 0));
}

// Changes of the records that only a starting process reads are not urgent, nor
// are keys that only one instance may create.
bool IsPassedOn(std::string_view key) {
  return key != FleetState::kSpendRecordKey &&
         key != FleetState::kVersionRecordKey && !IsTrialKey(key);
}

}  // namespace

FleetState::FleetState(boost::asio::io_context& context, const WireFormat& wire,
                       const StoreAvailability& availability, Clock clock,
                       EventLog& log)
    : wire(wire),
      availability(availability),
      clock(std::move(clock)),
      known_since(this->clock.Now()),
      log(log),
      changed(context) {}

std::string FleetState::InstanceKey(std::string_view name) {
  std::string key(kInstanceKeyPrefix);
  key.append(name);
  return key;
}

bool FleetState::HasPrefix(std::string_view key,
                           std::string_view prefix) const {
  return key.substr(0, prefix.size()) == prefix;
}

// Without this check, a delayed response of the store would restore values that
// have been overwritten since.
bool FleetState::IsNewer(std::string_view key, AppliedChange change) {
  const auto found = this->applied.find(key);
  if (found == this->applied.end()) {
    this->applied.emplace(std::string(key), change);
    return true;
  }
  if (change.revision <= found->second.revision) return false;
  found->second = change;
  return true;
}

std::uint64_t FleetState::AppliedRevision(std::string_view key) const {
  const auto found = this->applied.find(key);
  return found == this->applied.end() ? 0 : found->second.revision;
}

std::vector<std::int32_t> FleetState::ExistingKeys() const {
  std::vector<std::int32_t> hashes;
  for (const auto& [key, change] : this->applied) {
    if (!change.deleted && IsPassedOn(key)) hashes.push_back(HashOf(key));
  }
  return hashes;
}

void FleetState::RemoveOtherKeys(absl::Span<const std::int32_t> existing,
                                 std::uint64_t revision,
                                 std::uint64_t known_through) {
  const std::set<std::int32_t> hashes(existing.begin(), existing.end());
  std::vector<std::string> removed;
  for (const auto& [key, change] : this->applied) {
    if (change.deleted || change.revision > revision) continue;
    if (key == this->wire.config_key || !IsPassedOn(key)) continue;
    if (hashes.count(HashOf(key)) == 0) removed.push_back(key);
  }
  for (const std::string& key : removed) this->ApplyDeleted(key, revision);
  this->recent.AddGap(known_through, revision);
}

void FleetState::Apply(const StoreItem& item, ChangeSource source) {
  if (!this->IsNewer(item.key, {item.revision})) return;
  if (item.key == kSpendRecordKey) {
    this->ApplySpends(item);
    return;
  }
  if (item.key == kVersionRecordKey) {
    this->ApplyVersions(item);
    return;
  }
  if (IsTrialKey(item.key)) return;
  const bool of_target = this->HasPrefix(item.key, this->wire.targets_prefix);
  const bool urgent = !of_target || this->ApplyTarget(item);
  if (item.key == this->wire.config_key) this->ApplyConfig(item, source);
  if (this->HasPrefix(item.key, kInstanceKeyPrefix)) this->ApplyInstance(item);
  if (item.key == kLeaderKey) this->ApplyLeader(item);
  if (this->HasPrefix(item.key, this->wire.evacuations_prefix)) {
    this->ApplyEvacuation(item);
  }
  const std::optional<Suspect> suspect = SuspectOfKey(item.key);
  if (suspect.has_value()) this->ApplyCrashRecord(*suspect, item);
  if (urgent) this->AddUrgentChange({item, false});
  this->changed.Notify();
}

void FleetState::ApplyConfig(const StoreItem& item, ChangeSource source) {
  Result<GatewayConfig> decoded = this->wire.decode_config(item.value);
  if (!decoded.Ok()) {
    this->log.Write(
        "config", "invalid",
        {{"revision", item.revision}, {"why", decoded.Error().ToString()}});
    return;
  }
  this->config =
      std::make_shared<const GatewayConfig>(std::move(decoded.Value()));
  this->log.Write(
      "config", "in force",
      {{"version", this->config->version},
       {"revision", item.revision},
       {"routes", static_cast<int>(this->config->routes.Routes().size())},
       {"bytes", static_cast<int>(item.value.size())},
       {"source", source == ChangeSource::kRelay ? "relay" : "store"}});
}

bool FleetState::IsUrgent(const TargetRecord& record) const {
  const std::shared_ptr<TargetState> known = this->Target(record.id);
  // An entry that is back after an outage: instances that rely on this one's
  // digests would drop the target when the time to register again is over.
  if (known == nullptr || known->missing_since.has_value()) return true;
  const TargetRecord& old = known->Record();
  const auto names = [](const TargetRecord& target) {
    std::set<std::string_view> result;
    for (const ResidentModel& model : target.models) result.insert(model.name);
    return result;
  };
  return old.leaving != record.leaving || old.address != record.address ||
         old.service != record.service || old.born_ms != record.born_ms ||
         old.version != record.version ||
         old.warm_up_remaining < record.warm_up_remaining ||
         names(old) != names(record);
}

void FleetState::AddUrgentChange(StoreEvent event) {
  this->urgent_revision = std::max(this->urgent_revision, event.item.revision);
  this->recent.Add(std::move(event));
}

// Returns whether the change is urgent.
bool FleetState::ApplyTarget(const StoreItem& item) {
  Result<TargetRecord> decoded = this->wire.decode_target(item.key, item.value);
  if (!decoded.Ok()) {
    return this->LeaveOut(item.key.substr(this->wire.targets_prefix.size()),
                          decoded.Error().ToString(), item.revision);
  }
  TargetRecord record = std::move(decoded.Value());
  this->left_out.erase(record.id);
  const bool urgent = this->IsUrgent(record);
  this->log.Write("targets", record.leaving ? "leaving" : "entry",
                  {{"target", record.id},
                   {"service", record.service},
                   {"version", record.version.value_or("none")},
                   {"revision", item.revision}});
  this->RecordVersion(record);
  if (this->on_target_record) this->on_target_record(record);
  const auto known = this->targets.find(record.id);
  if (known != this->targets.end() &&
      known->second->Record().service == record.service) {
    known->second->Update(std::move(record), this->clock.Now());
    return urgent;
  }
  this->RemoveTarget(record.id);
  std::shared_ptr<TargetState> state = this->TakeDeparted(record.id);
  if (state == nullptr) {
    state = std::make_shared<TargetState>(std::move(record), this->clock.Now());
  } else {
    state->Update(std::move(record), this->clock.Now());
  }
  this->by_service[state->Record().service].push_back(state);
  this->targets[state->Record().id] = std::move(state);
  return urgent;
}

// Another writer's entry names no target to use. It may be written again and
// again; the log and the other instances hear of each reason once.
bool FleetState::LeaveOut(const std::string& id, std::string why,
                          std::uint64_t revision) {
  this->RemoveTarget(id);
  std::string& logged = this->left_out[id];
  if (logged == why) return false;
  logged = std::move(why);
  this->log.Write("targets", "left out",
                  {{"target", id}, {"why", logged}, {"revision", revision}});
  return true;
}

void FleetState::ApplyInstance(const StoreItem& item) {
  Result<InstanceRecord> decoded = DecodeInstanceRecord(item.value);
  if (!decoded.Ok()) return;
  this->log.Write(
      "instances", "entry",
      {{"peer", decoded.Value().name}, {"revision", item.revision}});
  this->instances[item.key.substr(kInstanceKeyPrefix.size())] =
      std::move(decoded.Value());
  this->choice.reset();
}

void FleetState::ApplyLeader(const StoreItem& item) {
  Result<InstanceRecord> decoded = DecodeInstanceRecord(item.value);
  if (!decoded.Ok()) return;
  this->leader =
      LeaderRecord{std::move(decoded.Value()), item.lease, item.revision};
  this->leader_revision = item.revision;
  this->choice.reset();
  this->log.Write(
      "duty", "holder",
      {{"peer", this->leader->instance.name}, {"revision", item.revision}});
}

// The key alone names the zone. A record with an unreadable value is in force,
// too: if it were ignored, requests would go on to a zone that is going down.
void FleetState::ApplyEvacuation(const StoreItem& item) {
  const std::string_view key = item.key;
  const std::string_view zone =
      key.substr(this->wire.evacuations_prefix.size());
  if (zone.empty() || zone.find('/') != std::string_view::npos) {
    this->log.Write("zones", "evacuation record without a zone",
                    {{"key", item.key}, {"revision", item.revision}});
    return;
  }
  int targets = 0;
  this->ForEachTarget([&](const TargetState& target) {
    if (target.Record().zone == zone) targets += 1;
  });
  this->evacuated_zones.emplace(zone);
  this->log.Write(
      "zones", "evacuated",
      {{"zone", zone}, {"targets", targets}, {"revision", item.revision}});
}

// Failure: the targets of a zone crash when its evacuation ends. They may have
// been restarted shortly before, and their records that say so arrive later
// than the end of the evacuation.
void FleetState::BeginWarmUp(std::string_view zone) {
  if (this->config == nullptr) return;
  const Instant now = this->clock.Now();
  this->ForEachTarget([&](TargetState& target) {
    if (target.Record().zone != zone) return;
    const auto service = this->config->services.find(target.Record().service);
    if (service == this->config->services.end()) return;
    target.SlowStartState().Begin(service->second.slow_start.duration, now);
  });
}

void FleetState::EndEvacuation(std::string_view zone, std::uint64_t revision) {
  const auto found = this->evacuated_zones.find(zone);
  if (found == this->evacuated_zones.end()) return;
  this->evacuated_zones.erase(found);
  this->BeginWarmUp(zone);
  this->log.Write("zones", "evacuation ended",
                  {{"zone", zone}, {"revision", revision}});
}

// Only the record found by the first listing is used; after that the leader's
// summaries are newer.
void FleetState::ApplySpends(const StoreItem& item) {
  if (this->has_listing) return;
  Result<SpendRecord> record = DecodeSpendRecord(item.value);
  if (!record.Ok()) {
    this->log.Write(
        "quota", "spend record invalid",
        {{"revision", item.revision}, {"why", record.Error().ToString()}});
    return;
  }
  this->initial_spend_record = std::move(record.Value());
}

// As ApplySpends.
void FleetState::ApplyVersions(const StoreItem& item) {
  if (this->has_listing) return;
  Result<VersionRecord> record = DecodeVersionRecord(item.value);
  if (!record.Ok()) {
    this->log.Write(
        "stream", "version record invalid",
        {{"revision", item.revision}, {"why", record.Error().ToString()}});
    return;
  }
  this->initial_version_record = std::move(record.Value());
}

void FleetState::ApplyCrashRecord(const Suspect& suspect,
                                  const StoreItem& item) {
  CrashRecord record = DecodeCrashRecord(item.value);
  this->log.Write("parts", "refused from now on",
                  {{LogNameOf(suspect.kind), suspect.id},
                   {"by", record.by},
                   {"why", record.why},
                   {"crashes", absl::StrJoin(record.crashes, ",")},
                   {"revision", item.revision}});
  this->crash_records[suspect] = {std::move(record), this->clock.Now()};
}

void FleetState::SetCrashRecordKnownSince(const Suspect& suspect,
                                          Instant since) {
  const auto found = this->crash_records.find(suspect);
  if (found != this->crash_records.end()) found->second.known_since = since;
}

void FleetState::RemoveCrashRecord(const Suspect& suspect,
                                   std::uint64_t revision) {
  this->crash_records.erase(suspect);
  this->log.Write(
      "parts", "no longer refused",
      {{LogNameOf(suspect.kind), suspect.id}, {"revision", revision}});
  if (this->on_crash_record_removed) this->on_crash_record_removed(suspect);
}

ServedVersions& FleetState::VersionsOf(std::string_view service) {
  return this->served_versions
      .try_emplace(std::string(service), ServedVersions(this->known_since))
      .first->second;
}

void FleetState::RecordVersion(const TargetRecord& record) {
  const bool is_second = this->VersionsOf(record.service)
                             .Record(record.version, this->clock.Now());
  if (is_second && this->on_second_version)
    this->on_second_version(record.service);
}

ServedVersions& FleetState::CurrentVersions(std::string_view service) {
  const Instant now = this->clock.Now();
  ServedVersions& versions = this->VersionsOf(service);
  for (const auto& target : this->Targets(service)) {
    versions.Record(target->Record().version, now);
  }
  return versions;
}

void FleetState::ApplyDeleted(std::string_view key, std::uint64_t revision) {
  if (!this->IsNewer(key, {revision, true})) return;
  if (IsTrialKey(key)) return;
  StoreItem removed;
  removed.key = std::string(key);
  removed.revision = revision;
  this->AddUrgentChange({std::move(removed), true});
  if (this->HasPrefix(key, this->wire.targets_prefix)) {
    const std::string_view id = key.substr(this->wire.targets_prefix.size());
    this->left_out.erase(std::string(id));
    this->DropTarget(id, "entry removed");
  }
  const std::optional<Suspect> suspect = SuspectOfKey(key);
  if (suspect.has_value()) this->RemoveCrashRecord(*suspect, revision);
  if (this->HasPrefix(key, this->wire.evacuations_prefix)) {
    this->EndEvacuation(key.substr(this->wire.evacuations_prefix.size()),
                        revision);
  }
  if (this->HasPrefix(key, kInstanceKeyPrefix)) {
    const std::string_view name = key.substr(kInstanceKeyPrefix.size());
    this->log.Write("instances", "gone",
                    {{"peer", name}, {"revision", revision}});
    const auto found = this->instances.find(name);
    if (found != this->instances.end()) this->instances.erase(found);
    this->choice.reset();
  }
  if (key == kLeaderKey) {
    this->leader.reset();
    this->leader_revision = revision;
    this->choice.reset();
    this->log.Write("duty", "no leader", {{"revision", revision}});
  }
  this->changed.Notify();
}

void FleetState::ApplyListing(absl::Span<const StoreItem> items,
                              std::uint64_t store_revision,
                              std::uint64_t known_through) {
  this->recent.CompleteAfter(store_revision);
  if (this->has_listing) this->recent.AddGap(known_through, store_revision);
  std::set<std::string_view> listed;
  for (const StoreItem& item : items) listed.insert(item.key);
  std::vector<std::string> missing;
  for (const auto& [key, change] : this->applied) {
    if (listed.count(key) == 0) missing.push_back(key);
  }
  for (const std::string& key : missing) {
    if (key == this->wire.config_key) continue;
    this->ApplyDeleted(key, store_revision);
  }
  for (const StoreItem& item : items) this->Apply(item);
  this->has_listing = true;
}

void FleetState::DropTarget(std::string_view id, std::string_view why) {
  const std::shared_ptr<TargetState> target = this->Target(id);
  if (target == nullptr) return;
  const Instant now = this->clock.Now();
  const bool may_be_running =
      this->availability.MayLackEntries(now) && !target->IsLeaving();
  this->log.Write("targets", may_be_running ? "missing" : "gone",
                  {{"target", id}, {"why", why}});
  if (may_be_running) {
    target->missing_since = now;
    return;
  }
  this->RemoveTarget(id);
}

void FleetState::RemoveTarget(std::string_view id) {
  const auto found = this->targets.find(id);
  if (found == this->targets.end()) return;
  const std::shared_ptr<TargetState> target = found->second;
  this->RecordVersion(target->Record());
  if (this->on_target_record) {
    TargetRecord removed = target->Record();
    removed.models.clear();
    this->on_target_record(removed);
  }
  auto& peers = this->by_service[target->Record().service];
  peers.erase(std::remove(peers.begin(), peers.end(), target), peers.end());
  this->targets.erase(found);
  this->KeepDeparted(target);
}

// Failure: the record of a running target is missing for a second, and the
// target gets as many requests again as its limit allows. What the target said,
// what was sent to it and what it still works on holds when the record is back.
void FleetState::KeepDeparted(std::shared_ptr<TargetState> target) {
  const Instant now = this->clock.Now();
  std::erase_if(this->departed, [now](const auto& entry) {
    return now - entry.second.at > kDepartedLifetime;
  });
  target->connections.Clear();
  target->tunnels.Clear();
  const std::string id = target->Record().id;
  this->departed[id] = {std::move(target), now};
}

std::shared_ptr<TargetState> FleetState::TakeDeparted(const std::string& id) {
  const auto found = this->departed.find(id);
  if (found == this->departed.end()) return nullptr;
  std::shared_ptr<TargetState> target = std::move(found->second.state);
  this->departed.erase(found);
  return target;
}

void FleetState::RemoveMissingTargets() {
  if (this->availability.MayLackEntries(this->clock.Now())) return;
  std::vector<std::string> missing;
  for (const auto& [id, target] : this->targets) {
    if (target->missing_since.has_value()) missing.push_back(id);
  }
  for (const std::string& id : missing) {
    this->log.Write("targets", "gone",
                    {{"target", id}, {"why", "not back in the store"}});
    this->RemoveTarget(id);
  }
  if (!missing.empty()) this->changed.Notify();
}

absl::Span<const std::shared_ptr<TargetState>> FleetState::Targets(
    std::string_view service) const {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) return {};
  return found->second;
}

void FleetState::ForEachTarget(
    const std::function<void(TargetState&)>& visit) const {
  for (const auto& [id, target] : this->targets) visit(*target);
}

bool FleetState::IsServiceEvacuated(std::string_view service) const {
  const auto targets = this->Targets(service);
  return !targets.empty() &&
         std::all_of(targets.begin(), targets.end(), [&](const auto& target) {
           return this->IsEvacuated(target->Record().zone);
         });
}

std::shared_ptr<TargetState> FleetState::Target(std::string_view id) const {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : found->second;
}

}  // namespace dragonflyglade::gateway
