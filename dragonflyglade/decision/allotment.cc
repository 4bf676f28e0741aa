#include "dragonflyglade/decision/allotment.h"

#include <algorithm>
#include <tuple>

namespace dragonflyglade {
namespace {

std::int64_t MaxInUse(const OwnerShare& owner) {
  return std::max(owner.share, owner.held);
}

bool HasConfirmed(const OwnerShare& owner, std::int64_t epoch,
                  const AllotmentInputs& view) {
  const auto confirmed = view.confirmed.find(owner.instance);
  if (confirmed == view.confirmed.end() || confirmed->second < epoch) {
    return false;
  }
  const auto answering = view.answering.find(owner.instance);
  return answering != view.answering.end() &&
         answering->second == owner.incarnation;
}

std::vector<OwnerShare> RetainedOwners(const Allotment& current,
                                       const AllotmentInputs& view) {
  std::vector<OwnerShare> holders;
  for (OwnerShare owner : current.holders) {
    const bool reclaimable =
        view.settled.count({owner.instance, owner.incarnation}) > 0;
    if (reclaimable && HasTerminated(owner, view)) continue;
    if (HasConfirmed(owner, current.epoch, view)) owner.held = owner.share;
    holders.push_back(owner);
  }
  return holders;
}

OwnerShare* FindOwner(std::vector<OwnerShare>& holders,
                      const OwnerCandidate& candidate) {
  for (OwnerShare& owner : holders) {
    if (owner.instance == candidate.instance &&
        owner.incarnation == candidate.incarnation) {
      return &owner;
    }
  }
  return nullptr;
}

// The final share of each candidate: equal shares, with the remainder added to
// the first by name, so that every instance computes the same result.
std::map<std::string, std::int64_t> DesiredShares(
    std::vector<OwnerCandidate> wanted) {
  std::map<std::string, std::int64_t> desired;
  if (wanted.empty()) return desired;
  std::sort(wanted.begin(), wanted.end(),
            [](const OwnerCandidate& a, const OwnerCandidate& b) {
              return a.instance < b.instance;
            });
  const auto count = static_cast<std::int64_t>(wanted.size());
  std::int64_t remainder = kFullShareMillionths % count;
  for (const OwnerCandidate& candidate : wanted) {
    desired[candidate.instance] = kFullShareMillionths / count + remainder;
    remainder = 0;
  }
  return desired;
}

void ShrinkShares(std::vector<OwnerShare>& holders,
                  const std::map<std::string, std::int64_t>& desired) {
  for (OwnerShare& owner : holders) {
    const auto entry = desired.find(owner.instance);
    const std::int64_t desired_share =
        entry == desired.end() ? 0 : entry->second;
    if (desired_share >= owner.share) continue;
    owner.held = MaxInUse(owner);
    owner.share = desired_share;
  }
}

void GrowShares(std::vector<OwnerShare>& holders, const AllotmentInputs& view,
                const std::map<std::string, std::int64_t>& desired) {
  std::int64_t unassigned = kFullShareMillionths;
  for (const OwnerShare& owner : holders) unassigned -= MaxInUse(owner);
  for (const OwnerCandidate& candidate : view.wanted) {
    OwnerShare* owner = FindOwner(holders, candidate);
    if (owner == nullptr) {
      holders.push_back(OwnerShare{candidate.instance, candidate.incarnation, 0,
                                   0, view.list_version});
      owner = &holders.back();
    }
    const std::int64_t shortfall =
        desired.at(candidate.instance) - MaxInUse(*owner);
    const std::int64_t granted =
        std::clamp<std::int64_t>(shortfall, 0, unassigned);
    if (granted == 0) continue;
    owner->share = MaxInUse(*owner) + granted;
    owner->held = owner->share;
    unassigned -= granted;
  }
}

void RemoveEmptyShares(std::vector<OwnerShare>& holders) {
  holders.erase(
      std::remove_if(holders.begin(), holders.end(),
                     [](const OwnerShare& h) { return MaxInUse(h) == 0; }),
      holders.end());
}

}  // namespace

// Failure: a paused owner is taken for terminated and its share goes to other
// instances; when it resumes, it spends the same share again. Missing
// heartbeats cannot tell a paused process from a terminated one, however long
// they are missing. Only two facts prove termination: the platform's list,
// which names an instance until it has terminated, no longer has it; or a newer
// incarnation responds at its address, which can start only after the old
// process has ended. A list that is older than the grant proves nothing, since
// it may not have the instance yet.
bool HasTerminated(const OwnerShare& owner, const AllotmentInputs& view) {
  const auto answering = view.answering.find(owner.instance);
  if (answering != view.answering.end() &&
      answering->second > owner.incarnation) {
    return true;
  }
  return view.list_version > owner.listed_at &&
         view.listed.count(owner.instance) == 0;
}

TerminatedOwners::TerminatedOwners(absl::Duration settle_time, Clock clock)
    : settle_time(settle_time), clock(clock) {}

// Failure: an owner terminates while borrowers may still spend tokens that it
// lent. If its share is reassigned at once, the same tokens are spent twice.
// The loans expire within the settle time, so the share is reassigned only
// after that.
std::set<std::pair<std::string, std::int64_t>>
TerminatedOwners::UpdateReclaimable(const Allotment& allotment,
                                    const AllotmentInputs& view) {
  const Instant now = this->clock.Now();
  std::set<std::pair<std::string, std::int64_t>> reclaimable;
  for (const OwnerShare& owner : allotment.holders) {
    const std::pair<std::string, std::int64_t> process = {owner.instance,
                                                          owner.incarnation};
    if (!HasTerminated(owner, view)) {
      this->first_seen.erase(process);
      continue;
    }
    const Instant first = this->first_seen.emplace(process, now).first->second;
    if (now - first >= this->settle_time) reclaimable.insert(process);
  }
  return reclaimable;
}

bool OwnerShare::operator==(const OwnerShare& other) const {
  return std::tie(this->instance, this->incarnation, this->share, this->held) ==
         std::tie(other.instance, other.incarnation, other.share, other.held);
}

bool Allotment::operator==(const Allotment& other) const {
  return this->workspace == other.workspace && this->epoch == other.epoch &&
         this->holders == other.holders;
}

std::optional<Allotment> PlanNextAllotment(const Allotment& current,
                                           const AllotmentInputs& view) {
  Allotment next = current;
  next.holders = RetainedOwners(current, view);
  const std::map<std::string, std::int64_t> desired =
      DesiredShares(view.wanted);
  ShrinkShares(next.holders, desired);
  GrowShares(next.holders, view, desired);
  RemoveEmptyShares(next.holders);
  if (next.holders == current.holders) return std::nullopt;
  next.epoch = current.epoch + 1;
  return next;
}

std::int64_t ShareOf(const Allotment& allotment, std::string_view instance,
                     std::int64_t incarnation) {
  for (const OwnerShare& owner : allotment.holders) {
    if (owner.instance == instance && owner.incarnation == incarnation) {
      return owner.share;
    }
  }
  return 0;
}

std::int64_t MaxTotalInUse(const Allotment& allotment) {
  std::int64_t total = 0;
  for (const OwnerShare& owner : allotment.holders) total += MaxInUse(owner);
  return total;
}

}  // namespace dragonflyglade
