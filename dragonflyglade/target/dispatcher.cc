#include "dragonflyglade/target/dispatcher.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {

Dispatcher::Dispatcher(TargetRegistry& targets, DispatcherOptions options,
                       Clock clock)
    : targets(targets), options(options), clock(clock) {}

Dispatcher::PoolQueue& Dispatcher::QueueOf(std::string_view pool) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->pools.find(pool);
  if (found != this->pools.end()) return *found->second;
  auto new_queue = std::make_unique<PoolQueue>(this->options);
  return *this->pools.emplace(std::string(pool), std::move(new_queue))
              .first->second;
}

void Dispatcher::ServeQueue(PoolQueue& pool) {
  const auto try_reserve =
      [&pool, this](const QueueEntry& entry)
          ABSL_EXCLUSIVE_LOCKS_REQUIRED(pool.mutex) {
            Waiter& waiter = *pool.waiters.at(entry.id);
            waiter.result = this->targets.ReserveTarget(*waiter.requirements);
            waiter.granted =
                std::holds_alternative<TargetReservation>(waiter.result);
            return waiter.granted;
          };
  while (pool.queue.PopFirstDispatchable(this->clock.Now(), try_reserve)
             .has_value()) {
  }
}

std::variant<TargetReservation, ReservationError, QueueFull>
Dispatcher::Reserve(const TargetRequirements& requirements,
                    std::string_view workspace, RequestClass request_class,
                    Instant deadline) {
  PoolQueue& pool = this->QueueOf(requirements.pool);
  absl::MutexLock lock(&pool.mutex);
  if (pool.queue.Size() >= this->options.queue_limit) return QueueFull{};
  Waiter waiter;
  waiter.requirements = &requirements;
  const std::uint64_t id = pool.next_id++;
  pool.waiters.emplace(id, &waiter);
  pool.queue.Push(QueueEntry{id, std::string(workspace), request_class,
                             std::max(1.0, requirements.tokens),
                             requirements.model, this->clock.Now()});
  while (true) {
    this->ServeQueue(pool);
    if (waiter.granted) break;
    const absl::Duration time_left = deadline - this->clock.Now();
    if (time_left <= absl::ZeroDuration()) break;
    pool.mutex.AwaitWithTimeout(
        absl::Condition(&waiter.granted),
        std::min(time_left, this->options.recheck_interval));
    if (waiter.granted) break;
  }
  pool.waiters.erase(id);
  if (!waiter.granted) pool.queue.Remove(id);
  if (const auto* reservation =
          std::get_if<TargetReservation>(&waiter.result)) {
    return *reservation;
  }
  return std::get<ReservationError>(waiter.result);
}

void Dispatcher::Release(const TargetReservation& reservation,
                         RequestOutcome outcome) {
  this->targets.ReleaseTarget(reservation, outcome);
  PoolQueue& pool = this->QueueOf(reservation.pool);
  absl::MutexLock lock(&pool.mutex);
  this->ServeQueue(pool);
}

std::size_t Dispatcher::Waiting() const {
  absl::MutexLock lock(&this->mutex);
  std::size_t waiting = 0;
  for (const auto& [name, pool] : this->pools) {
    absl::MutexLock pool_lock(&pool->mutex);
    waiting += pool->queue.Size();
  }
  return waiting;
}

}  // namespace dragonflyglade
