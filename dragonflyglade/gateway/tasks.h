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

/// Starts detached coroutines on one event loop. If one ends with an exception,
/// logs it as `task` `failed` and counts it in `task_failures`.
class Tasks {
 public:
  using TaskFactory = std::function<boost::asio::awaitable<void>()>;

  Tasks(boost::asio::io_context& context, Metrics& metrics, EventLog& log)
      : context(context), metrics(metrics), log(log) {}

  /// Starts a task.
  /// @param name the task's name in the log and metrics; text of static
  ///     lifetime
  void Spawn(std::string_view name, boost::asio::awaitable<void> task);

  /// Starts a task and restarts it, after a pause, each time that it ends with
  /// an exception.
  /// @param name as for Spawn
  /// @param make makes the task for each start
  void SpawnWithRestart(std::string_view name, TaskFactory make);

  /// Runs the event loop until it is stopped. An exception from a handler is
  /// reported, and the loop goes on.
  void RunLoop();

  /// Logs and counts an exception that a task has caught itself.
  void ReportFailure(std::string_view name,
                     const std::exception_ptr& exception);

 private:
  boost::asio::awaitable<void> RunWithRestart(std::string_view name,
                                              TaskFactory make);

  boost::asio::io_context& context;
  Metrics& metrics;
  EventLog& log;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TASKS_H_
