#ifndef DRAGONFLYGLADE_GATEWAY_SIGNAL_H_
#define DRAGONFLYGLADE_GATEWAY_SIGNAL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>

#include "absl/time/time.h"
#include "dragonflyglade/gateway/awaitable.h"

namespace dragonflyglade::gateway {

/// Waits for a time; a cancelled wait returns at once.
boost::asio::awaitable<void> Sleep(boost::asio::io_context& context,
                                   absl::Duration time);

/// Wakes all coroutines that wait for a change. One event loop.
class Signal {
 public:
  explicit Signal(boost::asio::io_context& context) : context(context) {}

  /// Returns after Notify, or after the time at the latest.
  boost::asio::awaitable<void> Wait(absl::Duration at_most);

  void Notify();

 private:
  boost::asio::io_context& context;
  std::list<boost::asio::steady_timer*> waiting;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_SIGNAL_H_
