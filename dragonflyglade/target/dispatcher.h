#ifndef DRAGONFLYGLADE_TARGET_DISPATCHER_H_
#define DRAGONFLYGLADE_TARGET_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/fair_queue.h"
#include "dragonflyglade/decision/target_book.h"

namespace dragonflyglade {

/// Limits on waiting for a place at a target.
struct DispatchOptions {
  std::size_t queue_limit = 1000;  ///< waiting requests a pool
  absl::Duration age_limit = absl::Seconds(5);
  int aged_turn_every = 8;
  /// How often waiting requests look again without being told.
  absl::Duration recheck = absl::Milliseconds(100);
};

/// There were too many waiting.
struct QueueIsFull {};

/// Gives requests places at targets, in the fair order when they must wait.
/// Thread-safe; each pool has its own lock.
class Dispatcher {
 public:
  Dispatcher(TargetBook& targets, DispatchOptions options, Clock clock);

  /// Waits for a place until the deadline.
  std::variant<TargetPlace, NoPlace, QueueIsFull> Acquire(
      const TargetNeed& need, std::string_view workspace,
      RequestClass request_class, Instant deadline);

  /// Gives a place back and lets the next request have it.
  void Release(const TargetPlace& place, PlaceOutcome outcome);

  /// Requests that wait now.
  std::size_t Waiting() const;

 private:
  struct Waiter {
    const TargetNeed* need = nullptr;
    std::variant<TargetPlace, NoPlace> result = NoPlace::kBusy;
    bool granted = false;
  };
  struct PoolQueue {
    explicit PoolQueue(const DispatchOptions& options)
        : queue(options.age_limit, options.aged_turn_every) {}
    mutable absl::Mutex mutex;
    FairQueue queue ABSL_GUARDED_BY(mutex);
    std::map<std::uint64_t, Waiter*> waiters ABSL_GUARDED_BY(mutex);
    std::uint64_t next_id ABSL_GUARDED_BY(mutex) = 1;
  };

  PoolQueue& QueueOf(std::string_view pool);
  void Serve(PoolQueue& pool) ABSL_EXCLUSIVE_LOCKS_REQUIRED(pool.mutex);

  TargetBook& targets;
  const DispatchOptions options;
  const Clock clock;
  mutable absl::Mutex mutex;
  std::map<std::string, std::unique_ptr<PoolQueue>, std::less<>> pools
      ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TARGET_DISPATCHER_H_
