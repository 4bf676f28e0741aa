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

/// The limits on requests that wait for a reservation at a target.
struct DispatcherOptions {
  std::size_t queue_limit = 1000;  ///< waiting requests per pool
  /// The waiting time from which a request of a lower class counts as aged.
  absl::Duration age_limit = absl::Seconds(5);
  /// One of this many turns goes to an aged request.
  int aged_turn_interval = 8;
  /// How often a waiting request retries, if no released reservation causes it
  /// to do so earlier.
  absl::Duration recheck_interval = absl::Milliseconds(100);
};

/// The pool's queue already held the allowed number of waiting requests.
struct QueueFull {};

/// Reserves capacity at targets for requests. Requests that have to wait are
/// served in the order of FairQueue. Thread-safe; each pool has its own lock.
class Dispatcher {
 public:
  Dispatcher(TargetRegistry& targets, DispatcherOptions options, Clock clock);

  /// Waits until the deadline for a reservation at a target of the pool.
  /// @return the reservation, or why there was none
  std::variant<TargetReservation, ReservationError, QueueFull> Reserve(
      const TargetRequirements& requirements, std::string_view workspace,
      RequestClass request_class, Instant deadline);

  /// Releases a reservation and serves the next waiting request.
  void Release(const TargetReservation& reservation, RequestOutcome outcome);

  /// The number of waiting requests.
  std::size_t Waiting() const;

 private:
  struct Waiter {
    const TargetRequirements* requirements = nullptr;
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
  void ServeQueue(PoolQueue& pool) ABSL_EXCLUSIVE_LOCKS_REQUIRED(pool.mutex);

  TargetRegistry& targets;
  const DispatcherOptions options;
  const Clock clock;
  mutable absl::Mutex mutex;
  std::map<std::string, std::unique_ptr<PoolQueue>, std::less<>> pools
      ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TARGET_DISPATCHER_H_
