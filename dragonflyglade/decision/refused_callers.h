#ifndef DRAGONFLYGLADE_DECISION_REFUSED_CALLERS_H_
#define DRAGONFLYGLADE_DECISION_REFUSED_CALLERS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Spreads the return of callers whose requests exceed their workspace's quota.
/// Callers refused at about the same time would otherwise return together and
/// be refused again. Not synchronised.
class RefusedCallers {
 public:
  /// @param random returns uniformly distributed numbers of at least 0 and
  ///   below 1
  RefusedCallers(Clock clock, std::function<double()> random);

  /// Records a refused request and returns when its caller should retry.
  /// @param tokens of the request
  /// @param wait time until the quota has the tokens
  /// @param refill tokens per second for the callers of this instance
  absl::Duration RetryAfter(std::string_view workspace, double tokens,
                            absl::Duration wait, double refill);

 private:
  /// Tokens of requests that were refused and have not been refilled since.
  struct Returning {
    double tokens = 0;
    Instant updated;
  };

  void RemoveReturned();

  const Clock clock;
  const std::function<double()> random;
  std::map<std::string, Returning, std::less<>> workspaces;
  Instant checked;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_REFUSED_CALLERS_H_
