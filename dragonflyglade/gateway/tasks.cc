#include "dragonflyglade/gateway/tasks.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <string>
#include <utility>

#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/catch_exception.h"

namespace dragonflyglade::gateway {
namespace {

// Limits the cost of a task that fails at every start.
constexpr absl::Duration kRestartDelay = absl::Milliseconds(200);

}  // namespace

void Tasks::ReportFailure(std::string_view name,
                          const std::exception_ptr& exception) {
  this->metrics.Count("task_failures", fmt::format("task=\"{}\"", name));
  this->log.Write("task", "failed",
                  {{"task", name}, {"why", ExceptionText(exception)}});
}

void Tasks::Spawn(std::string_view name, boost::asio::awaitable<void> task) {
  boost::asio::co_spawn(this->context, std::move(task),
                        [this, name](const std::exception_ptr& exception) {
                          if (exception) this->ReportFailure(name, exception);
                        });
}

void Tasks::SpawnWithRestart(std::string_view name, TaskFactory make) {
  this->Spawn(name, this->RunWithRestart(name, std::move(make)));
}

// Without a restart, a single unexpected value could end e.g. the task that
// watches the store or accepts callers, while the process runs on and looks
// healthy.
boost::asio::awaitable<void> Tasks::RunWithRestart(std::string_view name,
                                                   TaskFactory make) {
  while (true) {
    const std::exception_ptr failure = co_await CatchException(make());
    if (!failure) co_return;
    this->ReportFailure(name, failure);
    co_await Sleep(this->context, kRestartDelay);
  }
}

void Tasks::RunLoop() {
  while (true) {
    try {
      this->context.run();
      return;
    } catch (...) {
      this->ReportFailure("handler", std::current_exception());
    }
  }
}

}  // namespace dragonflyglade::gateway
