#ifndef DRAGONFLYGLADE_NET_PERIODIC_WORKER_H_
#define DRAGONFLYGLADE_NET_PERIODIC_WORKER_H_

#include <functional>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace dragonflyglade {

/// A thread that runs a job repeatedly, with a pause after each run. If the
/// job throws, the exception is logged and the job runs again after a second.
class PeriodicWorker {
 public:
  /// Runs once and returns the pause until the next run.
  using Job = std::function<absl::Duration()>;

  explicit PeriodicWorker(Job job);
  ~PeriodicWorker();

  void Start();

  /// Ends the current pause, or skips the next one if the job is running.
  void Wake();

  /// Waits for the current run and ends the thread.
  void Stop();

  /// Whether Stop was called; a long job checks this to return early.
  bool Stopping() const;

 private:
  void Run();
  absl::Duration RunJobOnce() const;

  const Job job;
  mutable absl::Mutex mutex;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  bool woken ABSL_GUARDED_BY(mutex) = false;
  std::thread thread;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_PERIODIC_WORKER_H_
