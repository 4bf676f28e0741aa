#ifndef DRAGONFLYGLADE_NET_LOG_H_
#define DRAGONFLYGLADE_NET_LOG_H_

#include <spdlog/spdlog.h>

#include <string_view>

namespace dragonflyglade {

/// The components of the program that log. The name of each stands in its log
/// lines.
enum class LogPart {
  kCaller,
  kTarget,
  kStore,
  kOperator,
  kPeer,
  kPlacement,
  kInstance,
};

/// The log's level and format.
struct LogOptions {
  spdlog::level::level_enum level = spdlog::level::info;  ///< the lowest shown
  bool json_lines = false;  ///< one JSON object per line, else plain text
};

/// Configures the log, which is written to standard error. Call before the
/// first LogFor.
void SetUpLog(const LogOptions& options);

/// The logger of a component.
spdlog::logger& LogFor(LogPart part);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_NET_LOG_H_
