#ifndef DRAGONFLYGLADE_GATEWAY_CATCH_EXCEPTION_H_
#define DRAGONFLYGLADE_GATEWAY_CATCH_EXCEPTION_H_

#include <exception>
#include <string>

#include "dragonflyglade/gateway/awaitable.h"

namespace dragonflyglade::gateway {

/// Runs a step to its end and gives back the exception that left it, or null,
/// so that the lines after it run on every way out.
boost::asio::awaitable<std::exception_ptr> CatchException(
    boost::asio::awaitable<void> step);

/// What an exception says of itself.
std::string ExceptionText(const std::exception_ptr& exception);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CATCH_EXCEPTION_H_
