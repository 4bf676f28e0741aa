#include "dragonflyglade/decision/quota_participants.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/decision/quota_windows.h"

namespace dragonflyglade {

QuotaParticipants::QuotaParticipants(absl::Duration window, Clock clock)
    : window(window), clock(std::move(clock)), started(this->clock.Now()) {}

Instant QuotaParticipants::Oldest() const {
  return this->clock.Now() - (kCutOff + this->window);
}

void QuotaParticipants::Follow(absl::Span<const std::string_view> listed) {
  const Instant now = this->clock.Now();
  this->DropOld();
  if (listed.empty()) return;
  this->counts[listed.size()] = now;
  for (const std::string_view name : listed) {
    auto owner = this->owners.find(name);
    if (owner == this->owners.end()) {
      const bool from_start = now - this->started < kFleetStartupTime;
      owner =
          this->owners.emplace(std::string(name), Owner{from_start, now, now})
              .first;
    }
    owner->second.last = now;
  }
}

// Those that were there from the start are remembered: back in the list, they
// take their own part up again.
void QuotaParticipants::DropOld() {
  const Instant oldest = this->Oldest();
  std::erase_if(this->owners, [&](const auto& item) {
    return !item.second.from_start && item.second.last < oldest;
  });
  std::erase_if(this->counts,
                [&](const auto& item) { return item.second < oldest; });
}

// One that was listed in another's place may spend nothing by itself at first.
double QuotaParticipants::PartOf(const Owner& owner) const {
  if (owner.from_start) return 1;
  return SpendableFractionAfterJoin(this->clock.Now() - owner.since,
                                    this->window);
}

// Whoever is missed divides the quotas by the instances that it knew last, at
// the least by the smallest number that was listed lately.
double QuotaParticipants::MissingPart(
    const std::set<std::string_view>& heard) const {
  if (this->counts.empty()) return 0;
  double missing = 0;
  const Instant oldest = this->Oldest();
  for (const auto& [name, owner] : this->owners) {
    if (owner.last < oldest || heard.count(name) > 0) continue;
    missing += this->PartOf(owner);
  }
  const auto sharing = static_cast<double>(this->counts.begin()->first);
  return std::min(1.0, missing / sharing);
}

}  // namespace dragonflyglade
