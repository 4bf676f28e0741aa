#ifndef DRAGONFLYGLADE_NET_TASK_GROUP_H_
#define DRAGONFLYGLADE_NET_TASK_GROUP_H_

#include <functional>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace dragonflyglade {

/// Runs tasks in threads of their own and waits for them on destruction.
/// Thread-safe.
class TaskGroup {
 public:
  TaskGroup() = default;
  /// Waits until all tasks have finished.
  ~TaskGroup();
  TaskGroup(const TaskGroup&) = delete;
  TaskGroup& operator=(const TaskGroup&) = delete;

  /// Starts a task in a new thread. An exception that it throws is logged.
  /// Throws std::system_error if no thread can be created.
  void Run(std::function<void()> task);

  /// The number of unfinished tasks.
  int Running() const;

 private:
  void FinishTask();

  mutable absl::Mutex mutex;
  int running ABSL_GUARDED_BY(mutex) = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_TASK_GROUP_H_
