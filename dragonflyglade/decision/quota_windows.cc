#include "dragonflyglade/decision/quota_windows.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflyglade {
namespace {

// The window slides in steps of this length. A slice counts in full until all
// of it has left the window.
constexpr absl::Duration kSliceLength = absl::Milliseconds(100);
// The fraction of the overage and slack that admission uses. The rest covers
// requests that reach a target later than they are counted here, and the moment
// in which an instance falls back from the fleet's spending to its own.
constexpr double kUsedExcessFraction = 0.5;
// See SpendableFractionAfterRestart. With 1, a workspace that floods the fleet
// for 3 s before a restart of all instances exceeds its limit in a window by
// 0.6 %.
constexpr double kRestartGrowthExponent = 1.5;
// The fraction of its share that an instance spends without asking the leader
// for a grant.
constexpr double kFractionWithoutGrant = 0.5;
// A bucket below this fraction of its capacity is drained by a workspace that
// asks for more than its rate.
constexpr double kDrainedFraction = 0.5;
// An instance follows a bucket for this long after it was drained. Otherwise a
// last summary that the leader does not know to have arrived could tell the
// instance that it may spend its share of the window.
constexpr absl::Duration kDrainedTime = absl::Seconds(1);
// Summaries come several times a second. When none has come for this long, the
// leader that sends them is unreachable, and other instances may spend tokens
// that this one does not learn of.
constexpr absl::Duration kSummaryLifetime = absl::Milliseconds(1200);

}  // namespace

// Grows slowly at first, since a flooding workspace spends most of a window's
// quota within a few seconds.
double SpendableFractionAfterRestart(absl::Duration age,
                                     absl::Duration window) {
  return std::pow(std::min(1.0, absl::FDivDuration(age, window)),
                  kRestartGrowthExponent);
}

// A fifth counts until the window has passed. It covers a workspace that began
// to flood after its spending was last recorded.
double CountedFractionOfPriorSpending(absl::Duration age,
                                      absl::Duration window) {
  constexpr double kMinCountedFraction = 0.2;
  if (age >= window) return 0;
  return 1 -
         (1 - kMinCountedFraction) * SpendableFractionAfterRestart(age, window);
}

double SpendableFractionAfterJoin(absl::Duration listed_for,
                                  absl::Duration window) {
  return SpendableFractionAfterRestart(
      std::max(absl::ZeroDuration(), listed_for - kMaxPartitionDuration),
      window);
}

QuotaWindows::QuotaWindows(QuotaTolerance tolerance, bool nothing_spent_before,
                           Clock clock)
    : tolerance(tolerance),
      clock(std::move(clock)),
      nothing_spent_before(nothing_spent_before),
      started(this->clock.Now()),
      listed_at(this->started) {}

void QuotaWindows::SetParticipantCount(int count) {
  const Instant now = this->clock.Now();
  const bool lasted =
      now - this->instances_at > kMaxPartitionDuration + this->tolerance.window;
  if (count < this->instances && !lasted) return;
  this->instances = std::max(1, count);
  this->instances_at = now;
}

// After a restart, the spendable amount grows from 0: the previous process may
// have spent up to its limit, and that spending leaves the window only with
// time.
double QuotaWindows::SpendableAfterRestart(std::string_view workspace,
                                           double allowed) const {
  if (this->nothing_spent_before) return allowed;
  const absl::Duration age = this->clock.Now() - this->started;
  const auto spent = this->spent_before.find(workspace);
  if (spent == this->spent_before.end()) {
    return allowed * SpendableFractionAfterRestart(age, this->tolerance.window);
  }
  const double counted = spent->second * CountedFractionOfPriorSpending(
                                             age, this->tolerance.window);
  return std::max(0.0, allowed - counted);
}

double QuotaWindows::Spendable(std::string_view workspace,
                               double allowed) const {
  if (!this->listed) return 0;
  const Instant now = this->clock.Now();
  allowed = this->SpendableAfterRestart(workspace, allowed);
  if (this->listed_since.has_value()) {
    allowed *= SpendableFractionAfterJoin(now - *this->listed_since,
                                          this->tolerance.window);
  }
  return allowed;
}

// An instance that was listed before its process was killed gets its own share
// again.
void QuotaWindows::SetPriorSpending(
    std::map<std::string, double, std::less<>> spent, bool owned_share) {
  if (!this->spent_before.empty()) return;
  this->spent_before = std::move(spent);
  this->owns_share = this->owns_share || owned_share;
}

void QuotaWindows::SetListed(bool listed) {
  if (listed == this->listed) return;
  const Instant now = this->clock.Now();
  const bool after_startup = now - this->listed_at >= kFleetStartupTime;
  if (!listed && after_startup && !this->listed_since.has_value()) {
    this->owns_share = true;
  }
  if (listed) this->listed_at = now;
  if (listed && !this->owns_share) this->listed_since = now;
  this->listed = listed;
}

absl::Duration QuotaWindows::ListedFor() const {
  if (!this->listed_since.has_value()) return absl::InfiniteDuration();
  return this->clock.Now() - *this->listed_since;
}

std::int64_t QuotaWindows::CurrentSlice() const {
  return this->clock.Now() / kSliceLength;
}

QuotaWindows::Spending& QuotaWindows::Current(std::string_view workspace) {
  auto found = this->spendings.find(workspace);
  if (found == this->spendings.end()) {
    found = this->spendings.emplace(std::string(workspace), Spending()).first;
  }
  Spending& spending = found->second;
  const std::int64_t oldest =
      this->CurrentSlice() - this->tolerance.window / kSliceLength;
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
  if (spend.bucket_level.has_value())
    this->RecordLevel(spending, *spend.bucket_level);
}

void QuotaWindows::RecordLevel(Spending& spending, double level) {
  const Instant now = this->clock.Now();
  spending.bucket_level = level;
  spending.bucket_level_at = now;
  std::deque<LevelAt>& levels = spending.low_levels;
  while (!levels.empty() && levels.back().level >= level) levels.pop_back();
  levels.push_back({now, level});
  while (now - levels.front().at > kDrainedTime) levels.pop_front();
}

double QuotaWindows::FleetAllowance(const QuotaLimit& limit) const {
  const double seconds = absl::ToDoubleSeconds(this->tolerance.window);
  const double limit_tokens = limit.rate * seconds + limit.burst;
  return limit_tokens * (1 + kUsedExcessFraction * this->tolerance.overage) +
         kUsedExcessFraction * this->tolerance.slack;
}

BucketSize QuotaWindows::FleetBucket(const QuotaLimit& limit) const {
  const double factor = 1 + kUsedExcessFraction * this->tolerance.overage;
  return {limit.burst * factor + kUsedExcessFraction * this->tolerance.slack,
          limit.rate * factor};
}

bool QuotaWindows::HasRecentSummary(const Spending& spending) const {
  return spending.fleet_at.has_value() &&
         this->clock.Now() - *spending.fleet_at < kSummaryLifetime;
}

bool QuotaWindows::HasSummaryInWindow(const Spending& spending) const {
  return spending.fleet_at.has_value() &&
         this->clock.Now() - *spending.fleet_at < this->tolerance.window;
}

BucketSize QuotaWindows::OwnBucket(const Spending& spending,
                                   const QuotaLimit& limit) const {
  const BucketSize fleet = this->FleetBucket(limit);
  const int sharing = this->SharingInstances(spending.fleet);
  return {fleet.capacity / sharing, fleet.refill / sharing};
}

double QuotaWindows::OwnRefill(std::string_view workspace,
                               const QuotaLimit& limit) const {
  const auto found = this->spendings.find(workspace);
  return this
      ->OwnBucket(found == this->spendings.end() ? Spending() : found->second,
                  limit)
      .refill;
}

// While there is no leader, instances spend about what is refilled, so that the
// previous level still holds.
double QuotaWindows::InitialBucketLevel(std::string_view workspace,
                                        const QuotaLimit& limit,
                                        const FleetSpending& spend) const {
  const double window_left = this->FleetWindowLeft(limit, spend);
  const auto found = this->spendings.find(workspace);
  if (found == this->spendings.end()) return window_left;
  const Spending& spending = found->second;
  const absl::Duration age = this->clock.Now() - spending.bucket_level_at;
  if (!spending.bucket_level.has_value() || age > this->tolerance.window)
    return window_left;
  return std::min(window_left, *spending.bucket_level);
}

// Without new summaries, this instance goes on with an equal share of the
// refill. If it spent its share of the window at once instead, a workspace that
// floods it would be granted nothing for the rest of the window. A workspace
// whose bucket was not drained does not flood, and its share of the bucket may
// be smaller than a few requests; the window's share is enough for it.
std::optional<double> QuotaWindows::OwnBucketLevel(
    const Spending& spending, const QuotaLimit& limit) const {
  if (!spending.fleet.bucket_level.has_value()) return std::nullopt;
  if (!this->HasSummaryInWindow(spending)) return std::nullopt;
  if (!this->IsDrained(spending.low_levels.front().level, limit))
    return std::nullopt;
  const absl::Duration age = this->clock.Now() - *spending.fleet_at;
  const BucketSize own = this->OwnBucket(spending, limit);
  const double share =
      *spending.fleet.bucket_level / this->SharingInstances(spending.fleet);
  const double spent_since =
      std::max(0.0, spending.total - spending.fleet.own_total);
  return share + own.refill * absl::ToDoubleSeconds(age) - spent_since;
}

int QuotaWindows::SharingInstances(const FleetSpending& spend) const {
  return std::max(this->instances, spend.instances);
}

// If negative, the fleet must wait until that much spending has left the
// window.
double QuotaWindows::FleetLeft(const QuotaLimit& limit,
                               const FleetSpending& spend) const {
  const double allowed = this->FleetAllowance(limit);
  // A restarted process may have spent its share before the restart.
  const double unknown_spending =
      spend.unknown_shares * allowed / this->SharingInstances(spend);
  return allowed - this->ReservedForUnreported(limit, spend) - spend.total -
         unknown_spending;
}

bool QuotaWindows::IsDrained(double level, const QuotaLimit& limit) const {
  return level < kDrainedFraction * this->FleetBucket(limit).capacity;
}

// What these instances spent until their last reports is in the total. If they
// follow a drained bucket, they can have spent their part of it and of its
// refill since then. With their whole shares of the window reserved besides,
// nothing is left for the others although the rate goes on refilling.
double QuotaWindows::ReservedForUnreported(const QuotaLimit& limit,
                                           const FleetSpending& spend) const {
  const double allowed = this->FleetAllowance(limit);
  const double share = spend.unreported_fraction * allowed;
  const bool drained = spend.unreported_level.has_value() &&
                       this->IsDrained(*spend.unreported_level, limit);
  if (!drained) return share;
  const BucketSize bucket = this->FleetBucket(limit);
  const double spendable =
      kDrainedFraction * bucket.capacity +
      bucket.refill * absl::ToDoubleSeconds(spend.unreported_for);
  return spend.unreported_fraction * std::min(allowed, spendable);
}

std::optional<double> QuotaWindows::FollowedBucketLevel(
    std::string_view workspace) const {
  const auto found = this->spendings.find(workspace);
  if (found == this->spendings.end()) return std::nullopt;
  if (!this->HasRecentSummary(found->second)) return std::nullopt;
  return found->second.fleet.bucket_level;
}

QuotaWindows::Share QuotaWindows::OwnShare(std::string_view workspace,
                                           const Spending& spending,
                                           const QuotaLimit& limit) const {
  if (!this->HasRecentSummary(spending))
    return this->ShareWithoutSummary(workspace, spending, limit);
  if (!this->listed) return {};
  const double left = std::max(0.0, this->FleetLeft(limit, spending.fleet));
  const double spent_since = std::max(0.0, spending.sum - spending.fleet.own);
  return {left / this->SharingInstances(spending.fleet), spent_since,
          this->tolerance.share_multiple};
}

// Without a recent summary, each instance has an equal share of the limit. For
// one window after the last summary, it may not spend more than that summary
// left: some instances may have been granted more than their share, and if all
// others then spent theirs in full, the fleet would exceed the limit by those
// grants.
QuotaWindows::Share QuotaWindows::ShareWithoutSummary(
    std::string_view workspace, const Spending& spending,
    const QuotaLimit& limit) const {
  double tokens =
      this->Spendable(workspace, this->FleetAllowance(limit)) / this->instances;
  if (this->HasSummaryInWindow(spending)) {
    const double left = std::max(0.0, this->FleetLeft(limit, spending.fleet));
    tokens =
        std::min(tokens, spending.fleet.own +
                             left / this->SharingInstances(spending.fleet));
  }
  return {tokens, spending.sum, 1};
}

// In a large fleet an equal share is smaller than a request, so the leader
// decides most requests there. Half of what the fleet has left is kept for its
// grants: between two summaries, spending without a grant and grants together
// stay within what is left. The first summary that contains a workspace which
// was idle arrives some hundred milliseconds after its first requests. Until
// then, this instance spends no more than its part of a full bucket.
QuotaVerdict QuotaWindows::AdmitWithoutGrant(std::string_view workspace,
                                             const QuotaLimit& limit,
                                             double tokens) {
  if (limit.rate <= 0 && limit.burst <= 0) return {};
  Spending& spending = this->Current(workspace);
  if (!this->HasSummaryInWindow(spending)) {
    const double capacity = this->OwnBucket(spending, limit).capacity;
    const double level = capacity - spending.sum;
    if (!BucketAdmits(level, capacity, tokens)) return {false, {}, level};
  }
  if (!this->HasRecentSummary(spending))
    return this->AdmitFromShare(workspace, limit, tokens);
  const Share share = this->OwnShare(workspace, spending, limit);
  QuotaVerdict verdict;
  verdict.left = kFractionWithoutGrant * share.tokens - share.spent;
  if (spending.fleet.bucket_level.has_value()) {
    const double bucket_share =
        *spending.fleet.bucket_level / this->SharingInstances(spending.fleet);
    const double spent_since =
        std::max(0.0, spending.total - spending.fleet.own_total);
    verdict.left = std::min(verdict.left,
                            kFractionWithoutGrant * bucket_share - spent_since);
  }
  verdict.admitted = tokens <= verdict.left;
  if (verdict.admitted) this->Count(spending, tokens);
  return verdict;
}

QuotaVerdict QuotaWindows::DecideGrant(const QuotaLimit& limit, double tokens,
                                       const FleetSpending& spend) const {
  QuotaVerdict verdict;
  if (limit.rate <= 0 && limit.burst <= 0) return verdict;
  verdict.left = this->FleetWindowLeft(limit, spend);
  const double needed = tokens / (1 - kFractionWithoutGrant);
  const BucketSize bucket = this->FleetBucket(limit);
  const double level = spend.bucket_level.value_or(bucket.capacity);
  verdict.admitted =
      needed <= verdict.left && BucketAdmits(level, bucket.capacity, tokens);
  if (verdict.admitted) return verdict;
  // Spending leaves the window at about the workspace's rate.
  const double missing = std::max(0.0, needed - verdict.left);
  verdict.retry_after =
      std::max(absl::Seconds(missing / std::max(1.0, limit.rate)),
               TimeUntilAdmitted(level, bucket, tokens));
  verdict.left = std::min(verdict.left, level);
  return verdict;
}

void QuotaWindows::RecordGrant(std::string_view workspace, double tokens) {
  this->Count(this->Current(workspace), tokens);
}

QuotaVerdict QuotaWindows::AdmitFromShare(std::string_view workspace,
                                          const QuotaLimit& limit,
                                          double tokens) {
  QuotaVerdict verdict;
  if (limit.rate <= 0 && limit.burst <= 0) return verdict;
  Spending& spending = this->Current(workspace);
  const Share share = this->OwnShare(workspace, spending, limit);
  verdict.left = share.tokens - share.spent;
  const BucketSize bucket = this->OwnBucket(spending, limit);
  const double level =
      this->OwnBucketLevel(spending, limit).value_or(bucket.capacity);
  const bool fits =
      verdict.left > 0 &&
      share.spent + tokens <= share.share_multiple * share.tokens &&
      BucketAdmits(level, bucket.capacity, tokens);
  if (!fits) {
    verdict.admitted = false;
    // Spending leaves the fleet's window at the workspace's rate, of which this
    // instance gets an equal share.
    const double rate = std::max(1.0, limit.rate / this->instances);
    verdict.retry_after =
        std::max(absl::Seconds(std::max(0.0, tokens - verdict.left) / rate),
                 TimeUntilAdmitted(level, bucket, tokens));
    return verdict;
  }
  this->Count(spending, tokens);
  return verdict;
}

void QuotaWindows::Count(Spending& spending, double tokens) {
  const std::int64_t now = this->CurrentSlice();
  if (spending.slices.empty() || spending.slices.back().number != now) {
    spending.slices.push_back({now, 0});
  }
  spending.slices.back().tokens += tokens;
  spending.sum += tokens;
  spending.total += tokens;
}

void QuotaWindows::Refund(std::string_view workspace, double tokens) {
  Spending& spending = this->Current(workspace);
  // Taken out of the newest slices, so that no spending leaves the window
  // earlier than it would without the refund.
  for (auto slice = spending.slices.rbegin();
       slice != spending.slices.rend() && tokens > 0; ++slice) {
    const double refunded = std::min(tokens, slice->tokens);
    slice->tokens -= refunded;
    spending.sum -= refunded;
    spending.total -= refunded;
    tokens -= refunded;
  }
}

std::map<std::string, double, std::less<>> QuotaWindows::SpentTotals() const {
  std::map<std::string, double, std::less<>> totals;
  for (const auto& [workspace, spending] : this->spendings) {
    if (spending.total > 0) totals[workspace] = spending.total;
  }
  return totals;
}

double QuotaWindows::SpentTotal(std::string_view workspace) const {
  const auto found = this->spendings.find(workspace);
  return found == this->spendings.end() ? 0 : found->second.total;
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
