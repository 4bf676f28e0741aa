#include "dragonflyglade/decision/crash_account.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Some megabytes.
constexpr std::size_t kMaxSuspects = 10000;
// More are not needed for a decision.
constexpr std::size_t kMaxCrashesPerSuspect = 16;
// Requests with such a part, or repeats of a request, may be hours apart.
constexpr absl::Duration kCrashLifetime = absl::Hours(24);
// Targets of a failed domain end within this time of one another.
constexpr absl::Duration kSameCauseTime = absl::Milliseconds(120);
// A request that two targets are known to have ended under is held back, so
// that without a failure this many have it only if its callers sent it at once.
constexpr std::ptrdiff_t kLeastOfFailure = 3;
constexpr std::size_t kMaxRecentCrashes = 1000;

}  // namespace

CrashAccount::CrashAccount(Clock clock) : clock(std::move(clock)) {}

bool CrashAccount::FellTogether(absl::Span<const Crash> crashes) {
  const auto count = [&](SentAs sent_as) {
    return std::count_if(
        crashes.begin(), crashes.end(),
        [&](const Crash& known) { return known.sent_as == sent_as; });
  };
  return count(SentAs::kUnsuspected) >= kLeastOfFailure &&
         count(SentAs::kTrial) == 0;
}

CrashAccount::Rank CrashAccount::RankOf(const Suspect& suspect,
                                        const Crashes& crashes) {
  return {crashes.size(), crashes.back().at, suspect};
}

void CrashAccount::Replace(const Suspect& suspect, Crashes crashes) {
  this->Forget(suspect);
  if (crashes.empty()) return;
  this->ranks.insert(RankOf(suspect, crashes));
  this->by_suspect.emplace(suspect, std::move(crashes));
}

void CrashAccount::Forget(const Suspect& suspect) {
  const auto found = this->by_suspect.find(suspect);
  if (found == this->by_suspect.end()) return;
  this->ranks.erase(RankOf(suspect, found->second));
  this->by_suspect.erase(found);
}

void CrashAccount::ForgetOld() {
  while (this->by_suspect.size() >= kMaxSuspects) {
    const Suspect suspect = std::get<Suspect>(*this->ranks.begin());
    this->Forget(suspect);
  }
}

void CrashAccount::RecordCrash(const Suspect& suspect,
                               const TargetCrash& crash) {
  this->RecordCrash(suspect, crash, this->clock.Now());
}

void CrashAccount::RecordCrash(const Suspect& suspect, const TargetCrash& crash,
                               Instant at, SentAs sent_as) {
  const Instant now = this->clock.Now();
  Crashes crashes = this->CrashesOf(suspect);
  const auto is_same = [&](const Crash& known) {
    return known.crash.IsSameProcess(crash);
  };
  const auto same = std::find_if(crashes.begin(), crashes.end(), is_same);
  if (same != crashes.end()) {
    same->sent_as = std::max(same->sent_as, sent_as);
    this->Replace(suspect, std::move(crashes));
    return;
  }
  const auto is_old = [&](const Crash& known) {
    return now - known.at > kCrashLifetime;
  };
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(), is_old),
                crashes.end());
  if (crashes.size() >= kMaxCrashesPerSuspect) {
    // The crash of a trial decides alone, so it is never the one left out.
    if (sent_as != SentAs::kTrial) return;
    crashes.pop_back();
  }
  const auto later =
      std::find_if(crashes.begin(), crashes.end(),
                   [&](const Crash& known) { return known.at > at; });
  crashes.insert(later, {crash, at, sent_as});
  if (this->by_suspect.count(suspect) == 0) this->ForgetOld();
  this->Replace(suspect, std::move(crashes));
}

void CrashAccount::RecordSurvival(const Suspect& suspect,
                                  const SoftwareVersion& version, Instant at) {
  const auto found = this->by_suspect.find(suspect);
  if (found == this->by_suspect.end()) return;
  Crashes crashes = found->second;
  const auto is_refuted = [&](const Crash& known) {
    return known.at < at && known.crash.version == version;
  };
  crashes.erase(std::remove_if(crashes.begin(), crashes.end(), is_refuted),
                crashes.end());
  this->Replace(suspect, std::move(crashes));
}

std::size_t CrashAccount::Count(const Suspect& suspect) const {
  const auto found = this->by_suspect.find(suspect);
  if (found == this->by_suspect.end()) return 0;
  if (suspect.kind == SuspectKind::kRequest) return found->second.size();
  std::size_t count = 0;
  Instant last_counted = -absl::InfiniteDuration();
  for (const Crash& known : found->second) {
    if (known.at - last_counted < kSameCauseTime) continue;
    last_counted = known.at;
    count += 1;
  }
  return count;
}

std::vector<CrashAccount::Crash> CrashAccount::CrashesOf(
    const Suspect& suspect) const {
  const auto found = this->by_suspect.find(suspect);
  return found == this->by_suspect.end() ? Crashes() : found->second;
}

absl::Duration CrashAccount::AgeOf(const Suspect& suspect) const {
  const auto found = this->by_suspect.find(suspect);
  if (found == this->by_suspect.end()) return absl::ZeroDuration();
  return this->clock.Now() - found->second.front().at;
}

RecentCrashes::RecentCrashes(Clock clock) : clock(std::move(clock)) {}

void RecentCrashes::Record(const TargetCrash& crash) {
  if (!this->known.emplace(crash.target, crash.born_ms).second) return;
  this->crashes.emplace_back(this->clock.Now(), crash);
  if (this->crashes.size() <= kMaxRecentCrashes) return;
  const TargetCrash& oldest = this->crashes.front().second;
  this->known.erase({oldest.target, oldest.born_ms});
  this->crashes.pop_front();
}

std::vector<TargetCrash> RecentCrashes::Within(absl::Duration time) const {
  const Instant now = this->clock.Now();
  std::vector<TargetCrash> recent;
  for (const auto& [at, crash] : this->crashes) {
    if (now - at <= time) recent.push_back(crash);
  }
  return recent;
}

}  // namespace dragonflyglade
