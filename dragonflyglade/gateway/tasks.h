#ifndef DRAGONFLYGLADE_GATEWAY_TASKS_H_
#define DRAGONFLYGLADE_GATEWAY_TASKS_H_

#include <boost/asio/io_context.hpp>
#include <exception>
#include <string_view>

#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Starts coroutines that nobody waits for, and tells of each that ends by an
/// exception: a line `task` `failed`, and the counter `task_failures`.
class Tasks {
 public:
  Tasks(boost::asio::io_context& context, Metrics& metrics, EventLog& log)
      : context(context), metrics(metrics), log(log) {}

  /// @param name of the task in the line; text that is never freed
  void Spawn(std::string_view name, boost::asio::awaitable<void> task);

 private:
  void Failed(std::string_view name, const std::exception_ptr& exception);

  boost::asio::io_context& context;
  Metrics& metrics;
  EventLog& log;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TASKS_H_
