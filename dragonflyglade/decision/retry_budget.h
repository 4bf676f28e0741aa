#ifndef DRAGONFLYGLADE_DECISION_RETRY_BUDGET_H_
#define DRAGONFLYGLADE_DECISION_RETRY_BUDGET_H_

#include "absl/synchronization/mutex.h"

namespace dragonflyglade {

/// Keeps retries to a share of the traffic, so that they cannot multiply the
/// load when many targets fail at once. Thread-safe.
class RetryBudget {
 public:
  /// @param share retries earned by one request, e.g. 0.1
  /// @param reserve the most retries that can be saved up
  RetryBudget(double share, double reserve);

  /// A first attempt was made.
  void RecordRequest();

  /// Takes one retry, if one is left.
  bool TryConsumeRetry();

 private:
  const double share;
  const double reserve;
  absl::Mutex mutex;
  double left ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RETRY_BUDGET_H_
