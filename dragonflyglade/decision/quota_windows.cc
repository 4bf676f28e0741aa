#include "dragonflyglade/decision/quota_windows.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflyglade {
namespace {

// The window slides in steps of this length; a step counts whole until it is
// wholly out of the window.
constexpr absl::Duration kSlice = absl::Milliseconds(100);
// The part of the overage and slack that is used. The rest covers requests
// that reach a target later than they are counted here, and the moment in
// which an instance falls back from the fleet's count to its own.
constexpr double kUsedExcess = 0.5;
// See SpendableFractionAfterRestart. With 1, a flood of 3 s before a restart of
// the whole fleet exceeded the window by 0.6 %.
constexpr double kRestartGrowth = 1.5;
// The part of its share that an instance spends without asking.
constexpr double kPartWithoutAsking = 0.5;
// Summaries come several times a second; after this the instance that sends
// them is gone, and others may spend unheard.
constexpr absl::Duration kSummaryHolds = absl::Milliseconds(1200);

}  // namespace

// It grows slower at first, since a workspace that floods spends most of its
// window in a few seconds.
double SpendableFractionAfterRestart(absl::Duration age,
                                     absl::Duration window) {
  return std::pow(std::min(1.0, absl::FDivDuration(age, window)),
                  kRestartGrowth);
}

// A fifth counts until the window is over: it covers a workspace that began to
// flood after its spending was last written down.
double CountedFractionOfPriorSpending(absl::Duration age,
                                      absl::Duration window) {
  constexpr double kCountedToTheEnd = 0.2;
  if (age >= window) return 0;
  return 1 -
         (1 - kCountedToTheEnd) * SpendableFractionAfterRestart(age, window);
}

double SpendableFractionAfterJoin(absl::Duration listed_for,
                                  absl::Duration window) {
  return SpendableFractionAfterRestart(
      std::max(absl::ZeroDuration(), listed_for - kCutOff), window);
}

QuotaWindows::QuotaWindows(QuotaTolerance allowance, bool nothing_spent_before,
                           Clock clock)
    : allowance(allowance),
      clock(std::move(clock)),
      nothing_spent_before(nothing_spent_before),
      started(this->clock.Now()),
      listed_at(this->started) {}

void QuotaWindows::SetParticipantCount(int count) {
  const Instant now = this->clock.Now();
  const bool stood =
      now - this->instances_at > kCutOff + this->allowance.window;
  if (count < this->instances && !stood) return;
  this->instances = std::max(1, count);
  this->instances_at = now;
}

// After a restart, what may be spent of a window grows from nothing: the
// process before may have spent up to its limit, and that leaves the window
// only with time.
double QuotaWindows::EarnedAfterStart(std::string_view workspace,
                                      double whole) const {
  if (this->nothing_spent_before) return whole;
  const absl::Duration age = this->clock.Now() - this->started;
  const auto spent = this->spent_before.find(workspace);
  if (spent == this->spent_before.end()) {
    return whole * SpendableFractionAfterRestart(age, this->allowance.window);
  }
  const double counted = spent->second * CountedFractionOfPriorSpending(
                                             age, this->allowance.window);
  return std::max(0.0, whole - counted);
}

double QuotaWindows::Earned(std::string_view workspace, double whole) const {
  if (!this->listed) return 0;
  const Instant now = this->clock.Now();
  whole = this->EarnedAfterStart(workspace, whole);
  if (this->listed_since.has_value()) {
    whole *= SpendableFractionAfterJoin(now - *this->listed_since,
                                        this->allowance.window);
  }
  return whole;
}

// An instance that was listed before it was killed is back in its own place.
void QuotaWindows::SetPriorSpending(
    std::map<std::string, double, std::less<>> spent, bool owned_part) {
  if (!this->spent_before.empty()) return;
  this->spent_before = std::move(spent);
  this->owns_part = this->owns_part || owned_part;
}

void QuotaWindows::SetListed(bool listed) {
  if (listed == this->listed) return;
  const Instant now = this->clock.Now();
  const bool settled = now - this->listed_at >= kFleetStartupTime;
  if (!listed && settled && !this->listed_since.has_value()) {
    this->owns_part = true;
  }
  if (listed) this->listed_at = now;
  if (listed && !this->owns_part) this->listed_since = now;
  this->listed = listed;
}

absl::Duration QuotaWindows::ListedFor() const {
  if (!this->listed_since.has_value()) return absl::InfiniteDuration();
  return this->clock.Now() - *this->listed_since;
}

std::int64_t QuotaWindows::SliceNow() const {
  return this->clock.Now() / kSlice;
}

QuotaWindows::Spending& QuotaWindows::Current(std::string_view workspace) {
  auto found = this->spendings.find(workspace);
  if (found == this->spendings.end()) {
    found = this->spendings.emplace(std::string(workspace), Spending()).first;
  }
  Spending& spending = found->second;
  const std::int64_t oldest =
      this->SliceNow() - this->allowance.window / kSlice;
  while (!spending.slices.empty() && spending.slices.front().number < oldest) {
    spending.sum -= spending.slices.front().tokens;
    spending.slices.pop_front();
  }
  return spending;
}

void QuotaWindows::SetFleetSpending(std::string_view workspace,
                                    FleetSpending spend) {
  Spending& spending = this->Current(workspace);
  spending.fleet = spend;
  spending.fleet_at = this->clock.Now();
}

double QuotaWindows::FleetAllowance(const QuotaLimit& limit) const {
  const double seconds = absl::ToDoubleSeconds(this->allowance.window);
  const double owed = limit.rate * seconds + limit.burst;
  return owed * (1 + kUsedExcess * this->allowance.overage) +
         kUsedExcess * this->allowance.slack;
}

bool QuotaWindows::IsFresh(const Spending& spending) const {
  return spending.fleet_at.has_value() &&
         this->clock.Now() - *spending.fleet_at < kSummaryHolds;
}

int QuotaWindows::Sharing(const FleetSpending& spend) const {
  return std::max(this->instances, spend.instances);
}

// Below zero, the fleet must wait until as much has left the window.
double QuotaWindows::FleetLeft(double whole, const FleetSpending& spend) const {
  // A process that was started anew may have spent its part before.
  const double unknown = spend.unknown_shares * whole / this->Sharing(spend);
  return whole * (1 - spend.missing_part) - spend.total - unknown;
}

QuotaWindows::Part QuotaWindows::OwnPart(std::string_view workspace,
                                         const Spending& spending,
                                         const QuotaLimit& limit) const {
  const double whole = this->FleetAllowance(limit);
  if (!this->IsFresh(spending))
    return this->UnheardPart(workspace, spending, whole);
  if (!this->listed) return {};
  const double left = std::max(0.0, this->FleetLeft(whole, spending.fleet));
  const double since = std::max(0.0, spending.sum - spending.fleet.own);
  return {left / this->Sharing(spending.fleet), since, this->allowance.at_once};
}

// With nobody to sum up, an equal part of the limit. Until the window of the
// last summary is over, no more than what was left by it: some instances may
// have been granted more than their part, and if all others then spent theirs,
// the fleet would exceed the limit by what those have too much.
QuotaWindows::Part QuotaWindows::UnheardPart(std::string_view workspace,
                                             const Spending& spending,
                                             double whole) const {
  double tokens = this->Earned(workspace, whole) / this->instances;
  const bool known =
      spending.fleet_at.has_value() &&
      this->clock.Now() - *spending.fleet_at < this->allowance.window;
  if (known) {
    const double left = std::max(0.0, this->FleetLeft(whole, spending.fleet));
    tokens = std::min(
        tokens, spending.fleet.own + left / this->Sharing(spending.fleet));
  }
  return {tokens, spending.sum, 1};
}

// Equal parts of a large fleet are smaller than a request, so most requests
// there are decided where the sums are. Half of what is left is kept for that:
// parts and grants together stay inside it between two summaries.
QuotaVerdict QuotaWindows::AdmitWithoutGrant(std::string_view workspace,
                                             const QuotaLimit& limit,
                                             double tokens) {
  if (limit.rate <= 0 && limit.burst <= 0) return {};
  Spending& spending = this->Current(workspace);
  if (!this->IsFresh(spending)) return this->Take(workspace, limit, tokens);
  const Part part = this->OwnPart(workspace, spending, limit);
  QuotaVerdict verdict;
  verdict.left = kPartWithoutAsking * part.tokens - part.spent;
  verdict.admitted = tokens <= verdict.left;
  if (verdict.admitted) this->Spend(spending, tokens);
  return verdict;
}

QuotaVerdict QuotaWindows::Grant(const QuotaLimit& limit, double tokens,
                                 const FleetSpending& spend) const {
  QuotaVerdict verdict;
  if (limit.rate <= 0 && limit.burst <= 0) return verdict;
  verdict.left = this->FleetLeft(this->FleetAllowance(limit), spend);
  const double needed = tokens / (1 - kPartWithoutAsking);
  verdict.admitted = needed <= verdict.left;
  if (verdict.admitted) return verdict;
  // What was spent leaves the window at about the rate.
  verdict.retry_after =
      absl::Seconds((needed - verdict.left) / std::max(1.0, limit.rate));
  return verdict;
}

void QuotaWindows::RecordGrant(std::string_view workspace, double tokens) {
  this->Spend(this->Current(workspace), tokens);
}

QuotaVerdict QuotaWindows::Take(std::string_view workspace,
                                const QuotaLimit& limit, double tokens) {
  QuotaVerdict verdict;
  if (limit.rate <= 0 && limit.burst <= 0) return verdict;
  Spending& spending = this->Current(workspace);
  const Part part = this->OwnPart(workspace, spending, limit);
  verdict.left = part.tokens - part.spent;
  const bool fits =
      verdict.left > 0 && part.spent + tokens <= part.at_once * part.tokens;
  if (!fits) {
    verdict.admitted = false;
    // The fleet's window empties at the rate; this instance gets its part.
    const double rate = std::max(1.0, limit.rate / this->instances);
    verdict.retry_after =
        absl::Seconds(std::max(0.0, tokens - verdict.left) / rate);
    return verdict;
  }
  this->Spend(spending, tokens);
  return verdict;
}

void QuotaWindows::Spend(Spending& spending, double tokens) {
  const std::int64_t now = this->SliceNow();
  if (spending.slices.empty() || spending.slices.back().number != now) {
    spending.slices.push_back({now, 0});
  }
  spending.slices.back().tokens += tokens;
  spending.sum += tokens;
}

void QuotaWindows::GiveBack(std::string_view workspace, double tokens) {
  Spending& spending = this->Current(workspace);
  // Back into the newest slices, so that what is given back is counted out of
  // the window no earlier than what it was taken for.
  for (auto slice = spending.slices.rbegin();
       slice != spending.slices.rend() && tokens > 0; ++slice) {
    const double part = std::min(tokens, slice->tokens);
    slice->tokens -= part;
    spending.sum -= part;
    tokens -= part;
  }
}

std::map<std::string, double> QuotaWindows::Spent() {
  std::map<std::string, double> spent;
  for (const auto& [workspace, old] : this->spendings) {
    const Spending& spending = this->Current(workspace);
    if (spending.sum > 0) spent[workspace] = spending.sum;
  }
  return spent;
}

}  // namespace dragonflyglade
