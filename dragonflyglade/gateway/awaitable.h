#ifndef DRAGONFLYGLADE_GATEWAY_AWAITABLE_H_
#define DRAGONFLYGLADE_GATEWAY_AWAITABLE_H_

// Boost 1.74's coroutine headers use std::exchange without including <utility>,
// so <utility> must come first.
#include <utility>
// This comment keeps clang-format from sorting <utility> after the next header.
#include <boost/asio/awaitable.hpp>

#endif  // DRAGONFLYGLADE_GATEWAY_AWAITABLE_H_
