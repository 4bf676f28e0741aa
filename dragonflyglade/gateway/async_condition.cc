#include "dragonflyglade/gateway/async_condition.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

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

asio::awaitable<void> AsyncCondition::Wait(absl::Duration timeout) {
  asio::steady_timer timer(this->context, absl::ToChronoNanoseconds(timeout));
  const auto position = this->waiting.insert(this->waiting.end(), &timer);
  co_await WaitFor(timer);
  this->waiting.erase(position);
}

void AsyncCondition::Notify() {
  for (asio::steady_timer* timer : this->waiting) timer->cancel();
}

}  // namespace dragonflyglade::gateway
