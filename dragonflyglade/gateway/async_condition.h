#ifndef DRAGONFLYGLADE_GATEWAY_ASYNC_CONDITION_H_
#define DRAGONFLYGLADE_GATEWAY_ASYNC_CONDITION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <memory>

#include "absl/time/time.h"
#include "dragonflyglade/gateway/awaitable.h"

namespace dragonflyglade::gateway {

/// Suspends the coroutine for a time.
boost::asio::awaitable<void> Sleep(boost::asio::io_context& context,
                                   absl::Duration time);

/// A condition variable for coroutines on one event loop.
class AsyncCondition {
 public:
  explicit AsyncCondition(boost::asio::io_context& context)
      : context(context) {}

  /// Waits for the next Notify.
  /// @param timeout time after which Wait returns without a Notify
  boost::asio::awaitable<void> Wait(absl::Duration timeout);

  /// Wakes all coroutines that wait at present.
  void Notify();

 private:
  using Timers = std::list<boost::asio::steady_timer*>;
  class WaitingTimer;

  boost::asio::io_context& context;
  /// Shared with the coroutines that wait, which may be destroyed after this.
  const std::shared_ptr<Timers> waiting = std::make_shared<Timers>();
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_ASYNC_CONDITION_H_
