#include "dragonflyglade/decision/allotment.h"

#include <algorithm>
#include <tuple>

namespace dragonflyglade {
namespace {

std::int64_t Assumed(const OwnerShare& holder) {
  return std::max(holder.share, holder.held);
}

bool HasConfirmed(const OwnerShare& holder, std::int64_t epoch,
                  const AllotmentInputs& view) {
  const auto confirmed = view.confirmed.find(holder.instance);
  if (confirmed == view.confirmed.end() || confirmed->second < epoch) {
    return false;
  }
  const auto answering = view.answering.find(holder.instance);
  return answering != view.answering.end() &&
         answering->second == holder.incarnation;
}

std::vector<OwnerShare> SurvivingHolders(const Allotment& current,
                                         const AllotmentInputs& view) {
  std::vector<OwnerShare> holders;
  for (OwnerShare holder : current.holders) {
    const bool settled =
        view.settled.count({holder.instance, holder.incarnation}) > 0;
    if (settled && HasTerminated(holder, view)) continue;
    if (HasConfirmed(holder, current.epoch, view)) holder.held = holder.share;
    holders.push_back(holder);
  }
  return holders;
}

OwnerShare* Find(std::vector<OwnerShare>& holders,
                 const OwnerCandidate& candidate) {
  for (OwnerShare& holder : holders) {
    if (holder.instance == candidate.instance &&
        holder.incarnation == candidate.incarnation) {
      return &holder;
    }
  }
  return nullptr;
}

// What each wanted candidate should have in the end: equal parts, the
// remainder on the first by name, so that every planner computes the same.
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

void Shrink(std::vector<OwnerShare>& holders,
            const std::map<std::string, std::int64_t>& desired) {
  for (OwnerShare& holder : holders) {
    const auto want = desired.find(holder.instance);
    const std::int64_t target = want == desired.end() ? 0 : want->second;
    if (target >= holder.share) continue;
    holder.held = Assumed(holder);
    holder.share = target;
  }
}

void Grow(std::vector<OwnerShare>& holders, const AllotmentInputs& view,
          const std::map<std::string, std::int64_t>& desired) {
  std::int64_t free = kFullShareMillionths;
  for (const OwnerShare& holder : holders) free -= Assumed(holder);
  for (const OwnerCandidate& candidate : view.wanted) {
    OwnerShare* holder = Find(holders, candidate);
    if (holder == nullptr) {
      holders.push_back(OwnerShare{candidate.instance, candidate.incarnation, 0,
                                   0, view.list_version});
      holder = &holders.back();
    }
    const std::int64_t missing =
        desired.at(candidate.instance) - Assumed(*holder);
    const std::int64_t added = std::clamp<std::int64_t>(missing, 0, free);
    if (added == 0) continue;
    holder->share = Assumed(*holder) + added;
    holder->held = holder->share;
    free -= added;
  }
}

void DropEmpty(std::vector<OwnerShare>& holders) {
  holders.erase(
      std::remove_if(holders.begin(), holders.end(),
                     [](const OwnerShare& h) { return Assumed(h) == 0; }),
      holders.end());
}

}  // namespace

// Failure: a holder is judged dead although it only pauses, its share goes to
// others, and on waking it spends the same share again. Neither silence nor
// time can tell the two apart. The platform's list names an instance until it
// is gone, and a new incarnation at the same address can only start when the
// old process has ended, so these two are the only proofs accepted here. A
// list older than the grant proves nothing: it may not have the instance yet.
bool HasTerminated(const OwnerShare& holder, const AllotmentInputs& view) {
  const auto answering = view.answering.find(holder.instance);
  if (answering != view.answering.end() &&
      answering->second > holder.incarnation) {
    return true;
  }
  return view.list_version > holder.listed_at &&
         view.listed.count(holder.instance) == 0;
}

TerminatedOwners::TerminatedOwners(absl::Duration settle, Clock clock)
    : settle(settle), clock(clock) {}

// Failure: a holder dies with promises that its borrowers still spend, its
// share passes on at once, and the same seconds' tokens are spent twice. What
// a holder lent is void soon after; its share waits for that.
std::set<std::pair<std::string, std::int64_t>>
TerminatedOwners::UpdateReclaimable(const Allotment& allotment,
                                    const AllotmentInputs& view) {
  const Instant now = this->clock.Now();
  std::set<std::pair<std::string, std::int64_t>> settled;
  for (const OwnerShare& holder : allotment.holders) {
    const std::pair<std::string, std::int64_t> name = {holder.instance,
                                                       holder.incarnation};
    if (!HasTerminated(holder, view)) {
      this->since.erase(name);
      continue;
    }
    const Instant first = this->since.emplace(name, now).first->second;
    if (now - first >= this->settle) settled.insert(name);
  }
  return settled;
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
  next.holders = SurvivingHolders(current, view);
  const std::map<std::string, std::int64_t> desired =
      DesiredShares(view.wanted);
  Shrink(next.holders, desired);
  Grow(next.holders, view, desired);
  DropEmpty(next.holders);
  if (next.holders == current.holders) return std::nullopt;
  next.epoch = current.epoch + 1;
  return next;
}

std::int64_t ShareOf(const Allotment& allotment, std::string_view instance,
                     std::int64_t incarnation) {
  for (const OwnerShare& holder : allotment.holders) {
    if (holder.instance == instance && holder.incarnation == incarnation) {
      return holder.share;
    }
  }
  return 0;
}

std::int64_t MaxTotalInUse(const Allotment& allotment) {
  std::int64_t total = 0;
  for (const OwnerShare& holder : allotment.holders) total += Assumed(holder);
  return total;
}

}  // namespace dragonflyglade
