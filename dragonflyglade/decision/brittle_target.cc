#include "dragonflyglade/decision/brittle_target.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Declines within this time have one cause: the requests that were on their way
// when the first of them was.
constexpr absl::Duration kDeclineSpan = absl::Milliseconds(400);
// Without a decline for this long, twice as many requests may be in flight.
constexpr absl::Duration kRecoveryStep = absl::Seconds(3);
constexpr int kMaxLevel = 4;

}  // namespace

SlotShare ShareOfSlots(std::string_view target,
                       absl::Span<const SlotOwner> targets,
                       std::string_view self,
                       absl::Span<const std::string> listed) {
  int first = 0;  // number of the target's first slot among all slots
  int own = 0;
  int all = 0;
  for (const SlotOwner& each : targets) {
    all += each.slots;
    if (each.id < target) first += each.slots;
    if (each.id == target) own = each.slots;
  }
  const auto instances = static_cast<int>(listed.size());
  SlotShare share;
  share.scarce = all < instances;
  if (std::find(listed.begin(), listed.end(), self) == listed.end()) {
    share.scarce = true;
    return share;
  }
  const auto rank = static_cast<int>(
      std::count_if(listed.begin(), listed.end(),
                    [&](const std::string& name) { return name < self; }));
  for (int slot = 0; slot < own; ++slot) {
    if ((first + slot) % instances == rank) share.slots.push_back(slot);
  }
  return share;
}

bool BrittleTarget::RecordStatement(std::optional<double> declines,
                                    Instant at) {
  if (this->stated_at.has_value() && at < *this->stated_at) return false;
  this->stated_at = at;
  const bool changed = this->declines_per_second != declines;
  this->declines_per_second = declines;
  this->ever_brittle = this->ever_brittle || declines.has_value();
  if (!declines.has_value()) this->last_declined.reset();
  return changed;
}

void BrittleTarget::RecordDeclined(Instant at) {
  if (this->last_declined.has_value() &&
      at < *this->last_declined + kDeclineSpan) {
    this->last_declined = std::max(*this->last_declined, at);
    return;
  }
  this->level = std::min(this->LevelAt(at) + 1, kMaxLevel);
  this->last_declined = at;
}

int BrittleTarget::LevelAt(Instant now) const {
  if (!this->last_declined.has_value()) return 0;
  const auto steps =
      static_cast<int>((now - *this->last_declined) / kRecoveryStep);
  return std::max(1, this->level - steps);
}

// Levels: at 0 an instance without a slot may send a request all the same if
// slots are scarce, since the instances hardly ever all do at the same moment.
// At 1, after a decline, none may. Each further level halves the slots.
int BrittleTarget::MaxInFlight(const SlotShare& share, Instant now) const {
  const int level = this->LevelAt(now);
  if (level == 0 && share.scarce) {
    return std::max<int>(1, static_cast<int>(share.slots.size()));
  }
  const int divisor = 1 << std::max(0, level - 1);
  return static_cast<int>(
      std::count_if(share.slots.begin(), share.slots.end(),
                    [divisor](int slot) { return slot % divisor == 0; }));
}

}  // namespace dragonflyglade
