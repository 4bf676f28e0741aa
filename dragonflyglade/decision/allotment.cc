#include "dragonflyglade/decision/allotment.h"

#include <algorithm>
#include <tuple>

namespace dragonflyglade {
namespace {

std::int64_t MaxInUse(const OwnerShare& owner) {
  return std::max(owner.share, owner.in_use);
}

bool HasConfirmed(const OwnerShare& owner, std::int64_t epoch,
                  const AllotmentInputs& inputs) {
  const auto confirmed = inputs.confirmed_epochs.find(owner.instance);
  if (confirmed == inputs.confirmed_epochs.end() || confirmed->second < epoch) {
    return false;
  }
  const auto responding = inputs.responding.find(owner.instance);
  return responding != inputs.responding.end() &&
         responding->second == owner.incarnation;
}

std::vector<OwnerShare> RetainedOwners(const Allotment& current,
                                       const AllotmentInputs& inputs) {
  std::vector<OwnerShare> owners;
  for (OwnerShare owner : current.owners) {
    const bool reclaimable =
        inputs.reclaimable.count({owner.instance, owner.incarnation}) > 0;
    if (reclaimable && HasTerminated(owner, inputs)) continue;
    if (HasConfirmed(owner, current.epoch, inputs)) owner.in_use = owner.share;
    owners.push_back(owner);
  }
  return owners;
}

OwnerShare* FindOwner(std::vector<OwnerShare>& owners,
                      const OwnerCandidate& candidate) {
  for (OwnerShare& owner : owners) {
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
    std::vector<OwnerCandidate> candidates) {
  std::map<std::string, std::int64_t> desired;
  if (candidates.empty()) return desired;
  std::sort(candidates.begin(), candidates.end(),
            [](const OwnerCandidate& a, const OwnerCandidate& b) {
              return a.instance < b.instance;
            });
  const auto count = static_cast<std::int64_t>(candidates.size());
  std::int64_t remainder = kFullShareMillionths % count;
  for (const OwnerCandidate& candidate : candidates) {
    desired[candidate.instance] = kFullShareMillionths / count + remainder;
    remainder = 0;
  }
  return desired;
}

void ShrinkShares(std::vector<OwnerShare>& owners,
                  const std::map<std::string, std::int64_t>& desired) {
  for (OwnerShare& owner : owners) {
    const auto entry = desired.find(owner.instance);
    const std::int64_t desired_share =
        entry == desired.end() ? 0 : entry->second;
    if (desired_share >= owner.share) continue;
    owner.in_use = MaxInUse(owner);
    owner.share = desired_share;
  }
}

void GrowShares(std::vector<OwnerShare>& owners, const AllotmentInputs& inputs,
                const std::map<std::string, std::int64_t>& desired) {
  std::int64_t unassigned = kFullShareMillionths;
  for (const OwnerShare& owner : owners) unassigned -= MaxInUse(owner);
  for (const OwnerCandidate& candidate : inputs.candidates) {
    OwnerShare* owner = FindOwner(owners, candidate);
    if (owner == nullptr) {
      owners.push_back(OwnerShare{candidate.instance, candidate.incarnation, 0,
                                  0, inputs.list_version});
      owner = &owners.back();
    }
    const std::int64_t shortfall =
        desired.at(candidate.instance) - MaxInUse(*owner);
    const std::int64_t granted =
        std::clamp<std::int64_t>(shortfall, 0, unassigned);
    if (granted == 0) continue;
    owner->share = MaxInUse(*owner) + granted;
    owner->in_use = owner->share;
    unassigned -= granted;
  }
}

void RemoveEmptyShares(std::vector<OwnerShare>& owners) {
  owners.erase(
      std::remove_if(owners.begin(), owners.end(),
                     [](const OwnerShare& h) { return MaxInUse(h) == 0; }),
      owners.end());
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
bool HasTerminated(const OwnerShare& owner, const AllotmentInputs& inputs) {
  const auto responding = inputs.responding.find(owner.instance);
  if (responding != inputs.responding.end() &&
      responding->second > owner.incarnation) {
    return true;
  }
  return inputs.list_version > owner.list_version &&
         inputs.listed.count(owner.instance) == 0;
}

TerminatedOwners::TerminatedOwners(absl::Duration settle_time, Clock clock)
    : settle_time(settle_time), clock(clock) {}

// Failure: an owner terminates while borrowers may still spend tokens that it
// lent. If its share is reassigned at once, the same tokens are spent twice.
// The loans expire within the settle time, so the share is reassigned only
// after that.
std::set<std::pair<std::string, std::int64_t>>
TerminatedOwners::UpdateReclaimable(const Allotment& allotment,
                                    const AllotmentInputs& inputs) {
  const Instant now = this->clock.Now();
  std::set<std::pair<std::string, std::int64_t>> reclaimable;
  for (const OwnerShare& owner : allotment.owners) {
    const std::pair<std::string, std::int64_t> process = {owner.instance,
                                                          owner.incarnation};
    if (!HasTerminated(owner, inputs)) {
      this->first_seen.erase(process);
      continue;
    }
    const Instant first = this->first_seen.emplace(process, now).first->second;
    if (now - first >= this->settle_time) reclaimable.insert(process);
  }
  return reclaimable;
}

bool OwnerShare::operator==(const OwnerShare& other) const {
  return std::tie(this->instance, this->incarnation, this->share,
                  this->in_use) ==
         std::tie(other.instance, other.incarnation, other.share, other.in_use);
}

bool Allotment::operator==(const Allotment& other) const {
  return this->workspace == other.workspace && this->epoch == other.epoch &&
         this->owners == other.owners;
}

std::optional<Allotment> PlanNextAllotment(const Allotment& current,
                                           const AllotmentInputs& inputs) {
  Allotment next = current;
  next.owners = RetainedOwners(current, inputs);
  const std::map<std::string, std::int64_t> desired =
      DesiredShares(inputs.candidates);
  ShrinkShares(next.owners, desired);
  GrowShares(next.owners, inputs, desired);
  RemoveEmptyShares(next.owners);
  if (next.owners == current.owners) return std::nullopt;
  next.epoch = current.epoch + 1;
  return next;
}

std::int64_t ShareOf(const Allotment& allotment, std::string_view instance,
                     std::int64_t incarnation) {
  for (const OwnerShare& owner : allotment.owners) {
    if (owner.instance == instance && owner.incarnation == incarnation) {
      return owner.share;
    }
  }
  return 0;
}

std::int64_t MaxTotalInUse(const Allotment& allotment) {
  std::int64_t total = 0;
  for (const OwnerShare& owner : allotment.owners) total += MaxInUse(owner);
  return total;
}

}  // namespace dragonflyglade
