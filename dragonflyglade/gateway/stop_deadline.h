#ifndef DRAGONFLYGLADE_GATEWAY_STOP_DEADLINE_H_
#define DRAGONFLYGLADE_GATEWAY_STOP_DEADLINE_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "absl/time/time.h"

namespace dragonflyglade::gateway {

/// Acts if a process that stops has not ended in time, whatever its event loop
/// and its destructors do. Thread-safe.
class StopDeadline {
 public:
  /// @param on_expired called by a thread of its own
  explicit StopDeadline(std::function<void()> on_expired);
  /// The process has ended in time.
  ~StopDeadline();
  StopDeadline(const StopDeadline&) = delete;
  StopDeadline& operator=(const StopDeadline&) = delete;

  /// Starts the time in which the process must end. Further calls have no
  /// effect.
  void Start(absl::Duration time);

 private:
  void Watch(absl::Duration time);

  const std::function<void()> on_expired;
  std::mutex mutex;
  // A steady clock: absl::CondVar waits by the time of day, which may jump.
  std::condition_variable ended_changed;
  bool ended = false;
  std::thread thread;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STOP_DEADLINE_H_
