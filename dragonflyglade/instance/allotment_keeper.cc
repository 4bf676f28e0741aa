#include "dragonflyglade/instance/allotment_keeper.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/net/log.h"
#include "dragonflyglade/operator/records.h"
#include "dragonflyglade/peer/heartbeat.h"

namespace dragonflyglade {
namespace {

constexpr const char* kAllotmentKeeperRole = "allotment keeper";
constexpr std::size_t kSmallFleetInstances = 8;
constexpr std::size_t kOwnersInLargeFleet = 4;

}  // namespace

std::vector<OwnerCandidate> SelectShareOwners(
    std::string_view workspace, const std::vector<OwnerCandidate>& eligible) {
  if (eligible.size() <= kSmallFleetInstances) return eligible;
  std::vector<std::string> names;
  names.reserve(eligible.size());
  for (const OwnerCandidate& candidate : eligible) {
    names.push_back(candidate.instance);
  }
  const std::vector<std::string> owners =
      RendezvousOwners(workspace, names, kOwnersInLargeFleet);
  std::vector<OwnerCandidate> selected;
  for (const OwnerCandidate& candidate : eligible) {
    const bool owns = std::find(owners.begin(), owners.end(),
                                candidate.instance) != owners.end();
    if (owns) selected.push_back(candidate);
  }
  return selected;
}

AllotmentKeeper::AllotmentKeeper(const KvClient& kv, PeerClient& peers,
                                 Membership& membership,
                                 DistributedRateLimiter& rate_limiter,
                                 const CatalogHolder& catalog,
                                 AuditTrail& audit, absl::Duration period,
                                 absl::Duration reclaim_delay,
                                 ContactInstance contact_instance, Clock clock)
    : kv(kv),
      peers(peers),
      membership(membership),
      rate_limiter(rate_limiter),
      catalog(catalog),
      audit(audit),
      period(period),
      contact_instance(std::move(contact_instance)),
      terminated_owners(reclaim_delay, clock),
      worker([this] { return this->RunRound(); }) {}

AllotmentKeeper::~AllotmentKeeper() { this->Stop(); }

void AllotmentKeeper::Start() { this->worker.Start(); }

void AllotmentKeeper::Stop() { this->worker.Stop(); }

bool AllotmentKeeper::IsKeeper() const {
  return IsRendezvousOwner(kAllotmentKeeperRole,
                           this->membership.Self().info.name,
                           this->membership.ActiveNames(), 1);
}

AllotmentInputs AllotmentKeeper::CommonInputs() const {
  AllotmentInputs inputs;
  const InstanceList list = this->membership.List();
  inputs.list_version = list.version;
  for (const ListedInstance& listed : list.instances) {
    inputs.listed.insert(listed.info.name);
  }
  for (const MemberStatus& member : this->membership.All()) {
    if (member.incarnation != 0) {
      inputs.responding[member.info.name] = member.incarnation;
    }
    const bool eligible = !member.leaving &&
                          member.state == MemberState::kAlive &&
                          inputs.listed.count(member.info.name) > 0;
    if (eligible) {
      inputs.candidates.push_back(
          OwnerCandidate{member.info.name, member.incarnation});
    }
  }
  return inputs;
}

// Only the instance that maintains the allotments audits membership changes.
// Otherwise the audit trail would have one entry per instance for each change.
void AllotmentKeeper::AuditMembershipChanges() {
  for (const MemberStatus& member : this->membership.All()) {
    std::string state = member.leaving ? "leaving" : "alive";
    if (member.state == MemberState::kDead) state = "dead";
    if (member.incarnation == 0) continue;
    std::string& audited = this->audited_members[member.info.name];
    const std::string current =
        state + " " + std::to_string(member.incarnation);
    if (audited == current) continue;
    audited = current;
    this->audit.Add("member", member.info.name,
                    {{"state", state}, {"incarnation", member.incarnation}});
  }
}

// In a large fleet, this instance may have had no heartbeat yet from a selected
// owner. The owner gets its share in the round after it has responded.
void AllotmentKeeper::ContactNewOwners(
    std::map<std::string, AllotmentInputs>& inputs_by_workspace) {
  std::set<std::string> unknown_instances;
  for (auto& [workspace, inputs] : inputs_by_workspace) {
    std::vector<OwnerCandidate> known_candidates;
    for (const OwnerCandidate& candidate : inputs.candidates) {
      if (candidate.incarnation != 0) {
        known_candidates.push_back(candidate);
      } else {
        unknown_instances.insert(candidate.instance);
      }
    }
    inputs.candidates = std::move(known_candidates);
  }
  for (const std::string& instance : unknown_instances) {
    const std::optional<MemberStatus> member = this->membership.Find(instance);
    if (member.has_value()) this->contact_instance(*member);
  }
}

// Asks each owner whose share is being reduced which epochs it has applied.
void AllotmentKeeper::QueryConfirmedEpochs(
    const std::map<std::string, StoredAllotment>& stored,
    std::map<std::string, AllotmentInputs>& inputs_by_workspace) {
  std::map<std::string, std::vector<std::string>> workspaces_by_owner;
  for (const auto& [workspace, entry] : stored) {
    for (const OwnerShare& owner : entry.allotment.owners) {
      if (owner.in_use > owner.share) {
        workspaces_by_owner[owner.instance].push_back(workspace);
      }
    }
  }
  const std::string self = this->membership.Self().info.name;
  for (const auto& [instance, workspaces] : workspaces_by_owner) {
    if (instance == self) {
      for (const std::string& workspace : workspaces) {
        inputs_by_workspace[workspace].confirmed_epochs[instance] =
            this->rate_limiter.ConfirmedEpoch(workspace);
      }
      continue;
    }
    const std::optional<MemberStatus> member = this->membership.Find(instance);
    if (!member.has_value() || member->state == MemberState::kDead) continue;
    const Result<wire::EpochConfirmation> response =
        this->peers.ConfirmEpochs(PeerEndpoint(*member), workspaces);
    if (!response.Ok()) continue;
    for (const auto& [workspace, epoch] : response.Value().epochs) {
      inputs_by_workspace[workspace].confirmed_epochs[instance] = epoch;
      inputs_by_workspace[workspace].responding[instance] =
          response.Value().incarnation;
    }
  }
}

void AllotmentKeeper::StoreNextAllotment(const std::string& workspace,
                                         const StoredAllotment& stored,
                                         const AllotmentInputs& inputs) {
  const std::optional<Allotment> next =
      PlanNextAllotment(stored.allotment, inputs);
  if (!next.has_value()) return;
  const std::string key = AllotmentKey(workspace);
  const Result<KvTxnResult> response =
      this->kv.Txn({KvCondition{key, stored.mod_revision}},
                   {KvWrite{key, EncodeAllotment(*next), 0, false}});
  if (!response.Ok() || !response.Value().succeeded) return;
  LogFor(LogPart::kInstance)
      .info("Stored the allotment of workspace {} at epoch {}.", workspace,
            next->epoch);
  this->audit.Add("allotment", workspace,
                  {{"epoch", next->epoch},
                   {"holders", next->owners.size()},
                   {"assumed", MaxTotalInUse(*next)}});
}

absl::Duration AllotmentKeeper::RunRound() {
  if (!this->IsKeeper()) return this->period;
  this->AuditMembershipChanges();
  KvQuery query;
  query.key = AllotmentKey("");
  query.prefix = true;
  const Result<KvRange> range = this->kv.Range(query);
  if (!range.Ok()) return this->period;
  std::map<std::string, StoredAllotment> stored;
  for (const KvEntry& entry : range.Value().entries) {
    const Result<RecordKey> key = ParseRecordKey(entry.key);
    if (!key.Ok()) continue;
    const Result<Record> record = ParseRecord(key.Value(), entry.value);
    if (!record.Ok()) continue;
    stored[key.Value().name] = StoredAllotment{
        std::get<Allotment>(record.Value()), entry.mod_revision};
  }
  const AllotmentInputs common = this->CommonInputs();
  std::map<std::string, AllotmentInputs> inputs_by_workspace;
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  for (const auto& [workspace, rate] : catalog->rates) {
    stored[workspace].allotment.workspace = workspace;
    inputs_by_workspace[workspace] = common;
    inputs_by_workspace[workspace].candidates =
        SelectShareOwners(workspace, common.candidates);
  }
  this->ContactNewOwners(inputs_by_workspace);
  this->QueryConfirmedEpochs(stored, inputs_by_workspace);
  for (const auto& [workspace, entry] : stored) {
    // The allotment of a workspace without a rate record stays unchanged.
    if (catalog->rates.count(workspace) == 0) continue;
    AllotmentInputs& inputs = inputs_by_workspace[workspace];
    inputs.reclaimable =
        this->terminated_owners.UpdateReclaimable(entry.allotment, inputs);
    this->StoreNextAllotment(workspace, entry, inputs);
  }
  return this->period;
}

}  // namespace dragonflyglade
