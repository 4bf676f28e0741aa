#ifndef DRAGONFLYGLADE_GATEWAY_TASKS_H_
#define DRAGONFLYGLADE_GATEWAY_TASKS_H_

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string_view>

#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Starts coroutines that nobody waits for, and tells of each that ends by an
/// exception: a line `task` `failed`, and the counter `task_failures`.
/// One event loop.
class Tasks {
 public:
  using TaskMaker = std::function<boost::asio::awaitable<void>()>;

  Tasks(boost::asio::io_context& context, Metrics& metrics, EventLog& log)
      : context(context), metrics(metrics), log(log) {}

  /// @param name of the task in the line; text that is never freed
  void Spawn(std::string_view name, boost::asio::awaitable<void> task);

  /// Starts a task that runs for as long as the process. It is made and run
  /// again, after a pause, when it ends by an exception.
  void SpawnWithRestart(std::string_view name, TaskMaker make);

  /// Runs the event loop until it is stopped. An exception ends the handler
  /// that it comes from, and nothing else.
  void RunLoop();

  /// Tells of an exception that a task caught itself.
  void Failed(std::string_view name, const std::exception_ptr& exception);

 private:
  boost::asio::awaitable<void> RunAgain(std::string_view name, TaskMaker make);

  boost::asio::io_context& context;
  Metrics& metrics;
  EventLog& log;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TASKS_H_
