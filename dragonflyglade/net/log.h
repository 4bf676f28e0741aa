#ifndef DRAGONFLYGLADE_NET_LOG_H_
#define DRAGONFLYGLADE_NET_LOG_H_

#include <spdlog/spdlog.h>

#include <string_view>

namespace dragonflyglade {

/// The parts of the program that log; each has a fixed prefix.
enum class LogPart {
  kCaller,
  kTarget,
  kStore,
  kOperator,
  kPeer,
  kPlacement,
  kInstance,
};

/// How the log is written.
struct LogOptions {
  spdlog::level::level_enum level = spdlog::level::info;
  bool json_lines = false;
};

/// Sets up the log on standard error. Call before the first LogFor.
void SetUpLog(const LogOptions& options);

/// The logger of a part.
spdlog::logger& LogFor(LogPart part);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_LOG_H_
