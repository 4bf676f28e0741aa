#include "dragonflyglade/net/task_group.h"

#include <exception>
#include <thread>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

void RunLoggingExceptions(const std::function<void()>& task) {
  try {
    task();
  } catch (const std::exception& error) {
    LogFor(LogPart::kInstance)
        .error("A background task threw an exception: {}.", error.what());
  }
}

}  // namespace

TaskGroup::~TaskGroup() {
  absl::MutexLock lock(&this->mutex);
  const auto idle = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex) {
    return this->running == 0;
  };
  this->mutex.Await(absl::Condition(&idle));
}

void TaskGroup::Run(std::function<void()> task) {
  {
    absl::MutexLock lock(&this->mutex);
    ++this->running;
  }
  absl::Cleanup not_started = [this] { this->FinishTask(); };
  std::thread([this, task = std::move(task)]() mutable {
    RunLoggingExceptions(task);
    // The task's captures are destroyed before the task counts as finished:
    // once no task runs, the group's owner may destroy what they refer to.
    task = nullptr;
    this->FinishTask();
  }).detach();
  std::move(not_started).Cancel();
}

void TaskGroup::FinishTask() {
  absl::MutexLock lock(&this->mutex);
  --this->running;
}

int TaskGroup::Running() const {
  absl::MutexLock lock(&this->mutex);
  return this->running;
}

}  // namespace dragonflyglade
