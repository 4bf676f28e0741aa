#ifndef DRAGONFLYGLADE_DECISION_RETRY_BUDGET_H_
#define DRAGONFLYGLADE_DECISION_RETRY_BUDGET_H_

#include "absl/synchronization/mutex.h"

namespace dragonflyglade {

/// Limits retries to a share of the requests, so that they cannot multiply the
/// load when many targets fail at once. Thread-safe.
class RetryBudget {
 public:
  /// @param retries_per_request retries that each request adds, e.g. 0.1
  /// @param max_retries the most retries that can accumulate
  RetryBudget(double retries_per_request, double max_retries);

  /// Sets the most retries that can accumulate, also of those that have.
  void SetMaxRetries(double max_retries);

  /// Counts the first attempt of a request.
  void RecordRequest();

  /// Consumes one retry. Returns false if none is available.
  bool TryConsumeRetry();

 private:
  const double retries_per_request;
  absl::Mutex mutex;
  double max_retries ABSL_GUARDED_BY(mutex);
  double available_retries ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RETRY_BUDGET_H_
