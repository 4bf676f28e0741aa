#include "dragonflyglade/gateway/async_condition.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> WaitFor(asio::steady_timer& timer) {
  // The only possible error is a cancelled wait, by Notify.
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

asio::awaitable<void> Sleep(asio::io_context& context, absl::Duration time) {
  asio::steady_timer timer(context, absl::ToChronoNanoseconds(time));
  co_await WaitFor(timer);
}

// A timer of a coroutine that waits. A coroutine may be destroyed while it
// waits, when the process ends; Notify would then reach a timer that is gone.
class AsyncCondition::WaitingTimer {
 public:
  WaitingTimer(asio::io_context& context, absl::Duration timeout,
               std::shared_ptr<Timers> timers)
      : timer(context, absl::ToChronoNanoseconds(timeout)),
        timers(std::move(timers)),
        position(this->timers->insert(this->timers->end(), &this->timer)) {}
  ~WaitingTimer() { this->timers->erase(this->position); }
  WaitingTimer(const WaitingTimer&) = delete;
  WaitingTimer& operator=(const WaitingTimer&) = delete;

  asio::steady_timer& Timer() { return this->timer; }

 private:
  asio::steady_timer timer;
  const std::shared_ptr<Timers> timers;
  const Timers::iterator position;
};

asio::awaitable<void> AsyncCondition::Wait(absl::Duration timeout) {
  WaitingTimer waiting_timer(this->context, timeout, this->waiting);
  co_await WaitFor(waiting_timer.Timer());
}

void AsyncCondition::Notify() {
  for (asio::steady_timer* timer : *this->waiting) timer->cancel();
}

}  // namespace dragonflyglade::gateway
