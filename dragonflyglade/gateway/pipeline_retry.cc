// The methods of Pipeline that decide whether a request is sent again.
#include <algorithm>
#include <memory>
#include <string>

#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/pipeline_attempt.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {

namespace {

// The share of the fleet's retries that the instances use, divided equally. The
// rest covers instances that join or leave.
constexpr double kUsedRetries = 0.7;
// The limit on retries holds over any window, wherever it starts. A budget that
// saves up a whole window's retries could spend two windows' worth in one.
constexpr double kUsedRetryShare = 0.8;

}  // namespace

bool Pipeline::HasAttemptLeft(const RequestJob& job) const {
  if (job.deadline - this->clock.Now() < kMinAttemptTime) return false;
  return job.attempts < kMaxAttempts;
}

bool Pipeline::MayRetry(RequestJob& job, bool may_have_run) {
  if (!this->HasAttemptLeft(job)) return false;
  if (may_have_run && !job.MayReexecute()) return false;
  if (may_have_run && job.executions >= job.route->max_targets) return false;
  if (may_have_run && this->MayCrashNextTarget(job)) return false;
  return this->ConsumeRetry(job);
}

bool Pipeline::ConsumeRetry(const RequestJob& job) {
  if (this->RetryBudgetOf(job.service->name).TryConsumeRetry()) return true;
  this->metrics.Count("retries_refused");
  this->log.Write("retry", "no retry budget left",
                  {{"id", job.request.id}, {"service", job.service->name}});
  return false;
}

// Failure: all processes were killed and are back, and none knows the others
// yet. If each took the whole fleet's retries, the targets would get them many
// times.
RetryBudget& Pipeline::RetryBudgetOf(std::string_view service) {
  const double reserve =
      std::max(1.0, kUsedRetries * this->settings.retry_slack /
                        this->quotas.SharingInstances());
  const auto found = this->retry_budgets.find(service);
  if (found != this->retry_budgets.end()) {
    found->second->SetMaxRetries(reserve);
    return *found->second;
  }
  return *this->retry_budgets
              .emplace(
                  std::string(service),
                  std::make_unique<RetryBudget>(
                      kUsedRetryShare * this->settings.retry_share, reserve))
              .first->second;
}

}  // namespace dragonflyglade::gateway
