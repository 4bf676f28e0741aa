#include "dragonflyglade/gateway/tasks.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <string>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

std::string WhatOf(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "not a standard exception";
  }
}

}  // namespace

void Tasks::Failed(std::string_view name, const std::exception_ptr& exception) {
  this->metrics.Count("task_failures", fmt::format("task=\"{}\"", name));
  this->log.Write("task", "failed",
                  {{"task", name}, {"why", WhatOf(exception)}});
}

void Tasks::Spawn(std::string_view name, boost::asio::awaitable<void> task) {
  boost::asio::co_spawn(this->context, std::move(task),
                        [this, name](const std::exception_ptr& exception) {
                          if (exception) this->Failed(name, exception);
                        });
}

}  // namespace dragonflyglade::gateway
