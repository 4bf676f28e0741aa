#include "dragonflyglade/net/task_group.h"

#include <exception>
#include <thread>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

void Do(const std::function<void()>& task) {
  try {
    task();
  } catch (const std::exception& error) {
    LogFor(LogPart::kInstance).error("A task failed: {}.", error.what());
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
  absl::Cleanup not_started = [this] { this->Ended(); };
  std::thread([this, task = std::move(task)]() mutable {
    Do(task);
    // What the task holds is released before it counts as done, because the
    // group's owner may go as soon as nothing runs.
    task = nullptr;
    this->Ended();
  }).detach();
  std::move(not_started).Cancel();
}

void TaskGroup::Ended() {
  absl::MutexLock lock(&this->mutex);
  --this->running;
}

int TaskGroup::Running() const {
  absl::MutexLock lock(&this->mutex);
  return this->running;
}

}  // namespace dragonflyglade
