#ifndef DRAGONFLYGLADE_GATEWAY_AWAITABLE_H_
#define DRAGONFLYGLADE_GATEWAY_AWAITABLE_H_

// Boost 1.74's coroutine headers use std::exchange without including it, so
// this one comes first.
#include <utility>
// clang-format would sort it behind.
#include <boost/asio/awaitable.hpp>

#endif  // DRAGONFLYGLADE_GATEWAY_AWAITABLE_H_
