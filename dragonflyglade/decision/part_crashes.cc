#include "dragonflyglade/decision/part_crashes.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Some megabytes each.
constexpr std::size_t kMaxParts = 10000;
constexpr std::size_t kMaxSurvivedParts = 20000;
// More are not needed for a decision.
constexpr std::size_t kMaxCrashesPerPart = 16;
// Requests with such a part may be hours apart.
constexpr absl::Duration kCrashLifetime = absl::Hours(24);
// Targets of a failed domain end within this time of one another.
constexpr absl::Duration kSameCauseTime = absl::Milliseconds(120);

}  // namespace

PartCrashes::PartCrashes(Clock clock) : clock(std::move(clock)) {}

PartCrashes::Rank PartCrashes::RankOf(std::string_view part,
                                      const Crashes& crashes) {
  return {crashes.size(), crashes.back().at, std::string(part)};
}

void PartCrashes::Replace(std::string_view part, Crashes crashes) {
  this->Forget(part);
  if (crashes.empty()) return;
  this->ranks.insert(RankOf(part, crashes));
  this->by_part.emplace(std::string(part), std::move(crashes));
}

void PartCrashes::Forget(std::string_view part) {
  const auto found = this->by_part.find(part);
  if (found == this->by_part.end()) return;
  this->ranks.erase(RankOf(part, found->second));
  this->by_part.erase(found);
}

void PartCrashes::ForgetOld() {
  while (this->by_part.size() >= kMaxParts) {
    const std::string part = std::get<std::string>(*this->ranks.begin());
    this->Forget(part);
  }
}

void PartCrashes::RecordCrash(std::string_view part, const TargetCrash& crash) {
  const Instant now = this->clock.Now();
  const auto found = this->by_part.find(part);
  Crashes crashes = found == this->by_part.end() ? Crashes() : found->second;
  const auto is_same = [&](const Crash& known) {
    return known.crash.target == crash.target &&
           known.crash.born_ms == crash.born_ms;
  };
  if (std::any_of(crashes.begin(), crashes.end(), is_same)) return;
  const auto is_old = [&](const Crash& known) {
    return now - known.at > kCrashLifetime;
  };
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(), is_old),
                crashes.end());
  if (crashes.size() >= kMaxCrashesPerPart) return;
  crashes.push_back({crash, now});
  this->ForgetOld();
  this->Replace(part, std::move(crashes));
}

void PartCrashes::RecordSurvival(std::string_view part,
                                 const SoftwareVersion& version, Instant at) {
  const auto found = this->by_part.find(part);
  if (found == this->by_part.end()) return;
  Crashes crashes = found->second;
  const auto is_refuted = [&](const Crash& known) {
    return known.at < at && known.crash.version == version;
  };
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(), is_refuted),
                crashes.end());
  this->Replace(part, std::move(crashes));
}

std::size_t PartCrashes::Count(std::string_view part) const {
  const auto found = this->by_part.find(part);
  if (found == this->by_part.end()) return 0;
  std::size_t count = 0;
  Instant last_counted = -absl::InfiniteDuration();
  for (const Crash& known : found->second) {
    if (known.at - last_counted < kSameCauseTime) continue;
    last_counted = known.at;
    count += 1;
  }
  return count;
}

std::vector<PartCrashes::Crash> PartCrashes::CrashesOf(
    std::string_view part) const {
  const auto found = this->by_part.find(part);
  return found == this->by_part.end() ? Crashes() : found->second;
}

SurvivedParts::SurvivedParts(Clock clock) : clock(std::move(clock)) {}

void SurvivedParts::Record(std::string_view part,
                           const SoftwareVersion& version) {
  const Instant now = this->clock.Now();
  const Key key(std::string(part), version);
  const auto found = this->last.find(key);
  if (found != this->last.end()) this->by_age.erase({found->second, key});
  this->last[key] = now;
  this->by_age.emplace(now, key);
  if (this->last.size() <= kMaxSurvivedParts) return;
  const auto oldest = this->by_age.begin();
  this->last.erase(oldest->second);
  this->by_age.erase(oldest);
}

std::map<SoftwareVersion, Instant> SurvivedParts::Find(
    std::string_view part) const {
  std::map<SoftwareVersion, Instant> found;
  const Key first(std::string(part), std::nullopt);
  for (auto item = this->last.lower_bound(first);
       item != this->last.end() && item->first.first == part; ++item) {
    found[item->first.second] = item->second;
  }
  return found;
}

}  // namespace dragonflyglade
