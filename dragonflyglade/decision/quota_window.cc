#include "dragonflyglade/decision/quota_window.h"

#include <algorithm>
#include <cmath>

namespace dragonflyglade {
namespace {

// The window slides in steps of this length; a step counts whole until it is
// wholly out of the window.
constexpr absl::Duration kSlice = absl::Milliseconds(100);
// The part of the overage and slack that is used. The rest covers requests
// that reach a target later than they are counted here, and the moment in
// which an instance falls back from the fleet's count to its own.
constexpr double kUsedExcess = 0.5;
// See EarnedPart. With 1, a flood of 3 s before a restart of the whole fleet
// exceeded the window by 0.6 %.
constexpr double kRestartGrowth = 1.5;
// Summaries come several times a second; after this the instance that sends
// them is gone, and others may spend unheard.
constexpr absl::Duration kSummaryHolds = absl::Milliseconds(1200);

}  // namespace

// It grows slower at first, since a workspace that floods spends most of its
// window in a few seconds.
double EarnedPart(absl::Duration age, absl::Duration window) {
  return std::pow(std::min(1.0, absl::FDivDuration(age, window)),
                  kRestartGrowth);
}

QuotaWindows::QuotaWindows(QuotaAllowance allowance, bool nothing_spent_before,
                           Clock clock)
    : allowance(allowance),
      clock(std::move(clock)),
      nothing_spent_before(nothing_spent_before),
      started(this->clock.Now()) {}

void QuotaWindows::SetInstances(int count) {
  const Instant now = this->clock.Now();
  const bool stood = now - this->instances_at > this->allowance.window;
  if (count < this->instances && !stood) return;
  this->instances = std::max(1, count);
  this->instances_at = now;
}

// After a restart, what may be spent of a window grows from nothing: the
// process before may have spent up to its limit, and that leaves the window
// only with time.
double QuotaWindows::Earned(double whole) const {
  if (this->nothing_spent_before) return whole;
  const absl::Duration age = this->clock.Now() - this->started;
  return whole * EarnedPart(age, this->allowance.window);
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

void QuotaWindows::SetFleetSpend(std::string_view workspace, FleetSpend spend) {
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

QuotaWindows::Part QuotaWindows::OwnPart(const Spending& spending,
                                         const QuotaLimit& limit) const {
  const double whole = this->FleetAllowance(limit);
  const bool fresh = spending.fleet_at.has_value() &&
                     this->clock.Now() - *spending.fleet_at < kSummaryHolds;
  if (!fresh) return {this->Earned(whole) / this->instances, spending.sum, 1};
  const int sharing = std::max(this->instances, spending.fleet.instances);
  // Instances that the summary does not hear may be alive and spend their
  // parts; each side of a partition keeps to the part of its own instances.
  const double heard = std::min(
      1.0, static_cast<double>(spending.fleet.instances) / this->instances);
  // A process that was started anew may have spent its part before.
  const double unknown = spending.fleet.unknown_shares * whole / sharing;
  const double left =
      std::max(0.0, whole * heard - spending.fleet.total - unknown);
  const double since = std::max(0.0, spending.sum - spending.fleet.own);
  return {left / sharing, since, this->allowance.at_once};
}

QuotaVerdict QuotaWindows::Take(std::string_view workspace,
                                const QuotaLimit& limit, double tokens) {
  QuotaVerdict verdict;
  if (limit.rate <= 0 && limit.burst <= 0) return verdict;
  Spending& spending = this->Current(workspace);
  const Part part = this->OwnPart(spending, limit);
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
  const std::int64_t now = this->SliceNow();
  if (spending.slices.empty() || spending.slices.back().number != now) {
    spending.slices.push_back({now, 0});
  }
  spending.slices.back().tokens += tokens;
  spending.sum += tokens;
  return verdict;
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
