#include "dragonflyglade/gateway/catch_exception.h"

#include <utility>

namespace dragonflyglade::gateway {

// A scope guard would not do: at shutdown, suspended coroutines are destroyed
// after the objects that the guard would access.
boost::asio::awaitable<std::exception_ptr> CatchException(
    boost::asio::awaitable<void> coroutine) {
  try {
    co_await std::move(coroutine);
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
