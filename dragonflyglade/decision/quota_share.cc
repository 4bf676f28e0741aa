#include "dragonflyglade/decision/quota_share.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// The part of the allowance that shares use. The rest covers what is counted
// here earlier than at a target, and the delay until a new instance is known.
constexpr double kUsedOverage = 0.7;
constexpr double kUsedSlack = 0.7;

}  // namespace

QuotaShares::QuotaShares(QuotaAllowance allowance, Clock clock)
    : allowance(allowance), clock(std::move(clock)) {}

void QuotaShares::SetInstances(int count) {
  this->instances = std::max(1, count);
}

double QuotaShares::ShareRate(const QuotaLimit& limit) const {
  return limit.rate * (1 + kUsedOverage * this->allowance.overage) /
         this->instances;
}

double QuotaShares::ShareCap(const QuotaLimit& limit) const {
  return (limit.burst * (1 + kUsedOverage * this->allowance.overage) +
          kUsedSlack * this->allowance.slack) /
         this->instances;
}

QuotaShares::Share& QuotaShares::Refilled(std::string_view workspace,
                                          const QuotaLimit& limit) {
  const Instant now = this->clock.Now();
  auto found = this->shares.find(workspace);
  if (found == this->shares.end()) {
    // A second's worth at the start: without it the first requests after a
    // restart would be refused although the workspace is far below its rate.
    const double start =
        std::min(this->ShareCap(limit), this->ShareRate(limit));
    found =
        this->shares.emplace(std::string(workspace), Share{start, now}).first;
  }
  Share& share = found->second;
  const double earned =
      this->ShareRate(limit) * absl::ToDoubleSeconds(now - share.filled);
  share.level = std::min(this->ShareCap(limit), share.level + earned);
  share.filled = now;
  return share;
}

QuotaVerdict QuotaShares::Take(std::string_view workspace,
                               const QuotaLimit& limit, double tokens) {
  QuotaVerdict verdict;
  if (limit.rate <= 0 && limit.burst <= 0) return verdict;
  Share& share = this->Refilled(workspace, limit);
  verdict.level = share.level;
  // A request above the cap passes at a full share, which then goes below
  // zero: it could never pass otherwise.
  const double needed = std::min(tokens, this->ShareCap(limit));
  if (share.level < needed) {
    verdict.admitted = false;
    const double rate = this->ShareRate(limit);
    verdict.retry_after = rate > 0
                              ? absl::Seconds((needed - share.level) / rate)
                              : absl::InfiniteDuration();
    return verdict;
  }
  share.level -= tokens;
  return verdict;
}

void QuotaShares::GiveBack(std::string_view workspace, const QuotaLimit& limit,
                           double tokens) {
  if (limit.rate <= 0 && limit.burst <= 0) return;
  Share& share = this->Refilled(workspace, limit);
  share.level = std::min(this->ShareCap(limit), share.level + tokens);
}

}  // namespace dragonflyglade
