#include "dragonflyglade/gateway/catch_exception.h"

#include <utility>

namespace dragonflyglade::gateway {

// Not a guard object: when the event loop ends, coroutines are destroyed after
// the parts that a guard would put back.
boost::asio::awaitable<std::exception_ptr> CatchException(
    boost::asio::awaitable<void> step) {
  try {
    co_await std::move(step);
  } catch (...) {
    co_return std::current_exception();
  }
  co_return nullptr;
}

std::string ExceptionText(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "not a standard exception";
  }
}

}  // namespace dragonflyglade::gateway
