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

constexpr const char* kKeeperRole = "allotment keeper";
constexpr std::size_t kSmallFleet = 8;
constexpr std::size_t kHoldersInLargeFleet = 4;

}  // namespace

std::vector<OwnerCandidate> WantedHolders(
    std::string_view workspace, const std::vector<OwnerCandidate>& able) {
  if (able.size() <= kSmallFleet) return able;
  std::vector<std::string> names;
  names.reserve(able.size());
  for (const OwnerCandidate& candidate : able) {
    names.push_back(candidate.instance);
  }
  const std::vector<std::string> owners =
      RendezvousOwners(workspace, names, kHoldersInLargeFleet);
  std::vector<OwnerCandidate> wanted;
  for (const OwnerCandidate& candidate : able) {
    const bool owns = std::find(owners.begin(), owners.end(),
                                candidate.instance) != owners.end();
    if (owns) wanted.push_back(candidate);
  }
  return wanted;
}

AllotmentKeeper::AllotmentKeeper(const KvClient& kv, PeerClient& peers,
                                 Membership& membership,
                                 DistributedRateLimiter& shares,
                                 const CatalogHolder& catalog,
                                 AuditTrail& audit, absl::Duration period,
                                 absl::Duration settle, Hear hear, Clock clock)
    : kv(kv),
      peers(peers),
      membership(membership),
      shares(shares),
      catalog(catalog),
      audit(audit),
      period(period),
      hear(std::move(hear)),
      gone(settle, clock),
      worker([this] { return this->Round(); }) {}

AllotmentKeeper::~AllotmentKeeper() { this->Stop(); }

void AllotmentKeeper::Start() { this->worker.Start(); }

void AllotmentKeeper::Stop() { this->worker.Stop(); }

bool AllotmentKeeper::IsKeeper() const {
  return IsRendezvousOwner(kKeeperRole, this->membership.Self().info.name,
                           this->membership.Active(), 1);
}

AllotmentInputs AllotmentKeeper::CommonView() const {
  AllotmentInputs view;
  const InstanceList list = this->membership.List();
  view.list_version = list.version;
  for (const ListedInstance& listed : list.instances) {
    view.listed.insert(listed.info.name);
  }
  for (const MemberStatus& member : this->membership.All()) {
    if (member.incarnation != 0) {
      view.answering[member.info.name] = member.incarnation;
    }
    const bool able = !member.leaving && member.state == MemberState::kAlive &&
                      view.listed.count(member.info.name) > 0;
    if (able) {
      view.wanted.push_back(
          OwnerCandidate{member.info.name, member.incarnation});
    }
  }
  return view;
}

// One instance notes changes of membership for all, or each would be in the
// audit trail as often as there are instances.
void AllotmentKeeper::NoteMembers() {
  for (const MemberStatus& member : this->membership.All()) {
    std::string state = member.leaving ? "leaving" : "alive";
    if (member.state == MemberState::kDead) state = "dead";
    if (member.incarnation == 0) continue;
    std::string& noted = this->noted_members[member.info.name];
    const std::string seen = state + " " + std::to_string(member.incarnation);
    if (noted == seen) continue;
    noted = seen;
    this->audit.Add("member", member.info.name,
                    {{"state", state}, {"incarnation", member.incarnation}});
  }
}

// In a large fleet a chosen holder may not have been heard of yet. It gets its
// share in the round after it answered.
void AllotmentKeeper::HearHolders(
    std::map<std::string, AllotmentInputs>& views) {
  std::set<std::string> unheard;
  for (auto& [workspace, view] : views) {
    std::vector<OwnerCandidate> heard;
    for (const OwnerCandidate& candidate : view.wanted) {
      if (candidate.incarnation != 0) {
        heard.push_back(candidate);
      } else {
        unheard.insert(candidate.instance);
      }
    }
    view.wanted = std::move(heard);
  }
  for (const std::string& instance : unheard) {
    const std::optional<MemberStatus> member = this->membership.Find(instance);
    if (member.has_value()) this->hear(*member);
  }
}

// Asks each holder that should shrink which epochs it follows.
void AllotmentKeeper::Confirm(const std::map<std::string, Stored>& stored,
                              std::map<std::string, AllotmentInputs>& views) {
  std::map<std::string, std::vector<std::string>> questions;
  for (const auto& [workspace, entry] : stored) {
    for (const OwnerShare& holder : entry.allotment.holders) {
      if (holder.held > holder.share) {
        questions[holder.instance].push_back(workspace);
      }
    }
  }
  const std::string self = this->membership.Self().info.name;
  for (const auto& [instance, workspaces] : questions) {
    if (instance == self) {
      for (const std::string& workspace : workspaces) {
        views[workspace].confirmed[instance] =
            this->shares.ConfirmedEpoch(workspace);
      }
      continue;
    }
    const std::optional<MemberStatus> member = this->membership.Find(instance);
    if (!member.has_value() || member->state == MemberState::kDead) continue;
    const Result<wire::EpochConfirmation> answer =
        this->peers.ConfirmEpochs(PeerEndpoint(*member), workspaces);
    if (!answer.Ok()) continue;
    for (const auto& [workspace, epoch] : answer.Value().epochs) {
      views[workspace].confirmed[instance] = epoch;
      views[workspace].answering[instance] = answer.Value().incarnation;
    }
  }
}

void AllotmentKeeper::Improve(const std::string& workspace,
                              const Stored& stored,
                              const AllotmentInputs& view) {
  const std::optional<Allotment> next =
      PlanNextAllotment(stored.allotment, view);
  if (!next.has_value()) return;
  const std::string key = AllotmentKey(workspace);
  const Result<KvTxnResult> reply =
      this->kv.Txn({KvCondition{key, stored.mod_revision}},
                   {KvWrite{key, EncodeAllotment(*next), 0, false}});
  if (!reply.Ok() || !reply.Value().succeeded) return;
  LogFor(LogPart::kInstance)
      .info("Allotment of {} is at epoch {}.", workspace, next->epoch);
  this->audit.Add("allotment", workspace,
                  {{"epoch", next->epoch},
                   {"holders", next->holders.size()},
                   {"assumed", MaxTotalInUse(*next)}});
}

absl::Duration AllotmentKeeper::Round() {
  if (!this->IsKeeper()) return this->period;
  this->NoteMembers();
  KvQuery query;
  query.key = AllotmentKey("");
  query.prefix = true;
  const Result<KvRange> range = this->kv.Range(query);
  if (!range.Ok()) return this->period;
  std::map<std::string, Stored> stored;
  for (const KvEntry& entry : range.Value().entries) {
    const Result<RecordKey> key = ParseRecordKey(entry.key);
    if (!key.Ok()) continue;
    const Result<Record> record = ParseRecord(key.Value(), entry.value);
    if (!record.Ok()) continue;
    stored[key.Value().name] =
        Stored{std::get<Allotment>(record.Value()), entry.mod_revision};
  }
  const AllotmentInputs common = this->CommonView();
  std::map<std::string, AllotmentInputs> views;
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  for (const auto& [workspace, rate] : catalog->rates) {
    stored[workspace].allotment.workspace = workspace;
    views[workspace] = common;
    views[workspace].wanted = WantedHolders(workspace, common.wanted);
  }
  this->HearHolders(views);
  this->Confirm(stored, views);
  for (const auto& [workspace, entry] : stored) {
    // A workspace without a rate record keeps its allotment as it is.
    if (catalog->rates.count(workspace) == 0) continue;
    AllotmentInputs& view = views[workspace];
    view.settled = this->gone.UpdateReclaimable(entry.allotment, view);
    this->Improve(workspace, entry, view);
  }
  return this->period;
}

}  // namespace dragonflyglade
