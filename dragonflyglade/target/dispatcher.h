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
#include "dragonflyglade/decision/target_registry.h"

namespace dragonflyglade {

/// Limits on waiting for a place at a target.
struct DispatcherOptions {
  std::size_t queue_limit = 1000;  ///< waiting requests a pool
  absl::Duration age_limit = absl::Seconds(5);
  int aged_turn_interval = 8;
  /// How often waiting requests look again without being told.
  absl::Duration recheck_interval = absl::Milliseconds(100);
};

/// There were too many waiting.
struct QueueFull {};

/// Gives requests places at targets, in the fair order when they must wait.
/// Thread-safe; each pool has its own lock.
class Dispatcher {
 public:
  Dispatcher(TargetRegistry& targets, DispatcherOptions options, Clock clock);

  /// Waits for a place until the deadline.
  std::variant<TargetReservation, ReservationError, QueueFull> Acquire(
      const TargetRequirements& need, std::string_view workspace,
      RequestClass request_class, Instant deadline);

  /// Gives a place back and lets the next request have it.
  void Release(const TargetReservation& place, RequestOutcome outcome);

  /// Requests that wait now.
  std::size_t Waiting() const;

 private:
  struct Waiter {
    const TargetRequirements* need = nullptr;
    std::variant<TargetReservation, ReservationError> result =
        ReservationError::kBusy;
    bool granted = false;
  };
  struct PoolQueue {
    explicit PoolQueue(const DispatcherOptions& options)
        : queue(options.age_limit, options.aged_turn_interval) {}
    mutable absl::Mutex mutex;
    FairQueue queue ABSL_GUARDED_BY(mutex);
    std::map<std::uint64_t, Waiter*> waiters ABSL_GUARDED_BY(mutex);
    std::uint64_t next_id ABSL_GUARDED_BY(mutex) = 1;
  };

  PoolQueue& QueueOf(std::string_view pool);
  void Serve(PoolQueue& pool) ABSL_EXCLUSIVE_LOCKS_REQUIRED(pool.mutex);

  TargetRegistry& targets;
  const DispatcherOptions options;
  const Clock clock;
  mutable absl::Mutex mutex;
  std::map<std::string, std::unique_ptr<PoolQueue>, std::less<>> pools
      ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TARGET_DISPATCHER_H_
