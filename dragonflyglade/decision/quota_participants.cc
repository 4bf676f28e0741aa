#include "dragonflyglade/decision/quota_participants.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/decision/quota_windows.h"

namespace dragonflyglade {

QuotaParticipants::QuotaParticipants(absl::Duration window, Clock clock)
    : window(window), clock(std::move(clock)), started(this->clock.Now()) {}

Instant QuotaParticipants::OldestRelevant() const {
  return this->clock.Now() - (kMaxPartitionDuration + this->window);
}

void QuotaParticipants::UpdateListed(
    absl::Span<const std::string_view> listed) {
  const Instant now = this->clock.Now();
  this->RemoveExpired();
  if (listed.empty()) return;
  this->listed_counts[listed.size()] = now;
  for (const std::string_view name : listed) {
    auto participant = this->participants.find(name);
    if (participant == this->participants.end()) {
      const bool from_start = now - this->started < kFleetStartupTime;
      participant =
          this->participants
              .emplace(std::string(name), Participant{from_start, now, now})
              .first;
    }
    participant->second.last_listed = now;
  }
}

// Participants from the fleet's start are kept: when they are listed again,
// they have their own share again at once.
void QuotaParticipants::RemoveExpired() {
  const Instant oldest = this->OldestRelevant();
  std::erase_if(this->participants, [&](const auto& item) {
    return !item.second.from_start && item.second.last_listed < oldest;
  });
  std::erase_if(this->listed_counts,
                [&](const auto& item) { return item.second < oldest; });
}

// An instance that is listed in the place of another one may spend nothing on
// its own at first.
double QuotaParticipants::SpendableFraction(
    const Participant& participant) const {
  if (participant.from_start) return 1;
  return SpendableFractionAfterJoin(
      this->clock.Now() - participant.listed_since, this->window);
}

// An instance that does not report divides the quotas by the number of listed
// instances that it last knew. To withhold enough, this assumes the smallest
// number of instances that was recently listed.
double QuotaParticipants::UnreportedFraction(
    const std::set<std::string_view>& reporting) const {
  if (this->listed_counts.empty()) return 0;
  double unreported_shares = 0;
  for (const std::string_view name : this->Unreported(reporting)) {
    unreported_shares +=
        this->SpendableFraction(this->participants.find(name)->second);
  }
  const auto participant_count =
      static_cast<double>(this->listed_counts.begin()->first);
  return std::min(1.0, unreported_shares / participant_count);
}

std::vector<std::string_view> QuotaParticipants::Unreported(
    const std::set<std::string_view>& reporting) const {
  std::vector<std::string_view> unreported;
  const Instant oldest = this->OldestRelevant();
  for (const auto& [name, participant] : this->participants) {
    if (participant.last_listed < oldest || reporting.count(name) > 0) continue;
    if (this->SpendableFraction(participant) <= 0) continue;
    unreported.push_back(name);
  }
  return unreported;
}

}  // namespace dragonflyglade
