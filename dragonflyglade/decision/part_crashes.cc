#include "dragonflyglade/decision/part_crashes.h"

#include <algorithm>
#include <utility>

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
// Two parts that crash targets at the same time have half of the crashes each.
constexpr double kMinCrashShare = 0.4;
constexpr std::size_t kMaxRecentCrashes = 1000;
// By then, a sound part that many requests share was answered on.
constexpr absl::Duration kAnsweredWithin = absl::Seconds(5);
// A sound part of a fifth of the requests is among so many answers.
constexpr std::size_t kAnswersToCompare = 20;
constexpr std::size_t kAnswersAmidFailures = 100;
// There may be no other requests.
constexpr absl::Duration kMaxAnswerWait = absl::Seconds(2);
constexpr std::size_t kCertainCrashes = 5;
constexpr std::size_t kMaxAnswers = 4000;

}  // namespace

PartVerdict JudgePart(const PartEvidence& evidence) {
  if (evidence.counted < kCrashesToConfirm) return PartVerdict::kNotEnough;
  const auto all = static_cast<double>(evidence.all_crashes);
  const bool in_few =
      static_cast<double>(evidence.crashes) < kMinCrashShare * all;
  if (in_few && evidence.age < kAnsweredWithin) return PartVerdict::kNotEnough;
  const bool most_failed = 2 * evidence.all_crashes > evidence.targets;
  const std::size_t needed =
      most_failed ? kAnswersAmidFailures : kAnswersToCompare;
  if (evidence.answers >= needed) return PartVerdict::kCrashesTargets;
  if (evidence.waited < kMaxAnswerWait) return PartVerdict::kOpen;
  const bool certain = evidence.crashes >= kCertainCrashes &&
                       evidence.counted > kCrashesToConfirm;
  return certain ? PartVerdict::kCrashesTargets : PartVerdict::kNotEnough;
}

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

RecentCrashes::RecentCrashes(Clock clock) : clock(std::move(clock)) {}

void RecentCrashes::Record(const TargetCrash& crash) {
  this->crashes.emplace_back(this->clock.Now(), crash);
  if (this->crashes.size() > kMaxRecentCrashes) this->crashes.pop_front();
}

std::vector<TargetCrash> RecentCrashes::Within(absl::Duration time) const {
  const Instant now = this->clock.Now();
  std::vector<TargetCrash> recent;
  for (const auto& [at, crash] : this->crashes) {
    if (now - at <= time) recent.push_back(crash);
  }
  return recent;
}

SurvivedParts::SurvivedParts(Clock clock) : clock(std::move(clock)) {}

void SurvivedParts::RecordAnswer() {
  this->answers.push_back(this->clock.Now());
  if (this->answers.size() > kMaxAnswers) this->answers.pop_front();
}

std::size_t SurvivedParts::AnswersWithin(absl::Duration time) const {
  const Instant since = this->clock.Now() - time;
  return this->answers.end() -
         std::lower_bound(this->answers.begin(), this->answers.end(), since);
}

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
