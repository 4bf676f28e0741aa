#ifndef DRAGONFLYGLADE_GATEWAY_CATCH_EXCEPTION_H_
#define DRAGONFLYGLADE_GATEWAY_CATCH_EXCEPTION_H_

#include <exception>
#include <string>

#include "dragonflyglade/gateway/awaitable.h"

namespace dragonflyglade::gateway {

/// Awaits a coroutine and returns the exception that it threw, or null. The
/// caller's cleanup code after it then runs in either case.
boost::asio::awaitable<std::exception_ptr> CatchException(
    boost::asio::awaitable<void> coroutine);

/// Returns the message of an exception.
std::string ExceptionText(const std::exception_ptr& exception);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CATCH_EXCEPTION_H_
