#ifndef DRAGONFLYGLADE_DECISION_QUOTA_SHARE_H_
#define DRAGONFLYGLADE_DECISION_QUOTA_SHARE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// What a workspace may spend over all instances.
struct QuotaLimit {
  double rate = 0;   ///< tokens a second; 0 with burst 0: no limit
  double burst = 0;  ///< tokens
};

/// By how much the fleet may exceed a limit. Used for what an equal split
/// would refuse although the fleet as a whole is inside the limit.
struct QuotaAllowance {
  double overage = 0;  ///< part of the limit
  double slack = 0;    ///< tokens, once in a window
};

/// Whether a request is inside this instance's share, and if not, when a
/// request of its size would be.
struct QuotaVerdict {
  bool admitted = true;
  absl::Duration retry_after = absl::ZeroDuration();
  double level = 0;  ///< tokens left in the share before the request
};

/// This instance's equal share of each workspace's quota. Not synchronised.
///
/// Shares are bounded by the count of instances alone, so the sum over the
/// fleet holds while instances cannot hear each other. A share starts empty:
/// a restarted instance cannot spend its burst twice.
class QuotaShares {
 public:
  QuotaShares(QuotaAllowance allowance, Clock clock);

  /// The instances that share the quotas, at least 1. While the count is
  /// growing elsewhere first, shares sum up to more than one for the delay of
  /// the news; the overage covers that.
  void SetInstances(int count);

  /// Takes the tokens of a request, or says when they will be there.
  QuotaVerdict Take(std::string_view workspace, const QuotaLimit& limit,
                    double tokens);

  /// Returns the tokens of a request that did not run.
  void GiveBack(std::string_view workspace, const QuotaLimit& limit,
                double tokens);

 private:
  struct Share {
    double level = 0;
    Instant filled;
  };

  double ShareRate(const QuotaLimit& limit) const;
  double ShareCap(const QuotaLimit& limit) const;
  Share& Refilled(std::string_view workspace, const QuotaLimit& limit);

  const QuotaAllowance allowance;
  const Clock clock;
  int instances = 1;
  std::map<std::string, Share, std::less<>> shares;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_QUOTA_SHARE_H_
