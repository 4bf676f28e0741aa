#include "dragonflyglade/gateway/tasks.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <string>
#include <utility>

#include "dragonflyglade/gateway/catch_exception.h"
#include "dragonflyglade/gateway/signal.h"

namespace dragonflyglade::gateway {
namespace {

// Long enough that a task that fails each time costs next to nothing.
constexpr absl::Duration kPauseAfterFailure = absl::Milliseconds(200);

}  // namespace

void Tasks::Failed(std::string_view name, const std::exception_ptr& exception) {
  this->metrics.Count("task_failures", fmt::format("task=\"{}\"", name));
  this->log.Write("task", "failed",
                  {{"task", name}, {"why", ExceptionText(exception)}});
}

void Tasks::Spawn(std::string_view name, boost::asio::awaitable<void> task) {
  boost::asio::co_spawn(this->context, std::move(task),
                        [this, name](const std::exception_ptr& exception) {
                          if (exception) this->Failed(name, exception);
                        });
}

void Tasks::SpawnWithRestart(std::string_view name, TaskMaker make) {
  this->Spawn(name, this->RunAgain(name, std::move(make)));
}

// Without this, one odd value would end the following of the store, or the
// accepting of callers, while the process goes on and looks healthy.
boost::asio::awaitable<void> Tasks::RunAgain(std::string_view name,
                                             TaskMaker make) {
  while (true) {
    const std::exception_ptr failure = co_await CatchException(make());
    if (!failure) co_return;
    this->Failed(name, failure);
    co_await Sleep(this->context, kPauseAfterFailure);
  }
}

void Tasks::RunLoop() {
  while (true) {
    try {
      this->context.run();
      return;
    } catch (...) {
      this->Failed("handler", std::current_exception());
    }
  }
}

}  // namespace dragonflyglade::gateway
