#ifndef DRAGONFLYGLADE_GATEWAY_EVENT_LOOP_H_
#define DRAGONFLYGLADE_GATEWAY_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>

namespace dragonflyglade::gateway {

/// An event loop whose coroutines can be destroyed before the loop itself,
/// while what they refer to still exists.
class EventLoop : public boost::asio::io_context {
 public:
  using io_context::io_context;

  /// Destroys the coroutines and handlers that have not ended, with their
  /// connections and timers. Call it after run() has returned; the loop cannot
  /// run again.
  void DestroyTasks() { this->shutdown(); }
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_EVENT_LOOP_H_
