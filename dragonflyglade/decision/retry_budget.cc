#include "dragonflyglade/decision/retry_budget.h"

#include <algorithm>

namespace dragonflyglade {

RetryBudget::RetryBudget(double retries_per_request, double max_retries)
    : retries_per_request(retries_per_request),
      max_retries(max_retries),
      available_retries(max_retries) {}

void RetryBudget::SetMaxRetries(double max_retries) {
  absl::MutexLock lock(&this->mutex);
  this->max_retries = max_retries;
  this->available_retries = std::min(this->available_retries, max_retries);
}

void RetryBudget::RecordRequest() {
  absl::MutexLock lock(&this->mutex);
  this->available_retries = std::min(
      this->max_retries, this->available_retries + this->retries_per_request);
}

bool RetryBudget::TryConsumeRetry() {
  absl::MutexLock lock(&this->mutex);
  if (this->available_retries < 1) return false;
  this->available_retries -= 1;
  return true;
}

}  // namespace dragonflyglade
