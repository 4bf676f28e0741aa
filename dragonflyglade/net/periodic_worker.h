#ifndef DRAGONFLYGLADE_NET_PERIODIC_WORKER_H_
#define DRAGONFLYGLADE_NET_PERIODIC_WORKER_H_

#include <functional>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace dragonflyglade {

/// A thread that does a job again and again, with a pause after each. A job
/// that throws is logged, and done again after a second.
class PeriodicWorker {
 public:
  /// Does the job once; returns the pause until the next time.
  using Job = std::function<absl::Duration()>;

  explicit PeriodicWorker(Job job);
  ~PeriodicWorker();

  void Start();

  /// Ends the pause early.
  void Wake();

  /// Waits for the job under way and ends the thread.
  void Stop();

  /// Whether Stop was called; a long job looks at it.
  bool Stopping() const;

 private:
  void Run();
  absl::Duration DoJob() const;

  const Job job;
  mutable absl::Mutex mutex;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  bool woken ABSL_GUARDED_BY(mutex) = false;
  std::thread thread;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_PERIODIC_WORKER_H_
