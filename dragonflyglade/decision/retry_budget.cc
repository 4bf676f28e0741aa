#include "dragonflyglade/decision/retry_budget.h"

#include <algorithm>

namespace dragonflyglade {

RetryBudget::RetryBudget(double share, double reserve)
    : share(share), reserve(reserve), left(reserve) {}

void RetryBudget::RecordRequest() {
  absl::MutexLock lock(&this->mutex);
  this->left = std::min(this->reserve, this->left + this->share);
}

bool RetryBudget::TryConsumeRetry() {
  absl::MutexLock lock(&this->mutex);
  if (this->left < 1) return false;
  this->left -= 1;
  return true;
}

}  // namespace dragonflyglade
