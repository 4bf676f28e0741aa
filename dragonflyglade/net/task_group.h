#ifndef DRAGONFLYGLADE_NET_TASK_GROUP_H_
#define DRAGONFLYGLADE_NET_TASK_GROUP_H_

#include <functional>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace dragonflyglade {

/// Threads that each do one task and end; all can be waited for.
class TaskGroup {
 public:
  TaskGroup() = default;
  /// Waits for all tasks.
  ~TaskGroup();
  TaskGroup(const TaskGroup&) = delete;
  TaskGroup& operator=(const TaskGroup&) = delete;

  /// Does the task in a thread of its own. What it throws is logged. Throws
  /// std::system_error if no thread can be had.
  void Run(std::function<void()> task);

  /// Tasks under way.
  int Running() const;

 private:
  void Ended();

  mutable absl::Mutex mutex;
  int running ABSL_GUARDED_BY(mutex) = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_TASK_GROUP_H_
