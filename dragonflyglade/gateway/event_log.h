#ifndef DRAGONFLYGLADE_GATEWAY_EVENT_LOG_H_
#define DRAGONFLYGLADE_GATEWAY_EVENT_LOG_H_

#include <spdlog/async_logger.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade::gateway {

/// A named value in a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;

  LogField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  LogField(std::string_view name, const char* value)
      : name(name), value(std::string_view(value)) {}
  LogField(std::string_view name, const std::string& value)
      : name(name), value(std::string_view(value)) {}
  LogField(std::string_view name, int value)
      : name(name), value(static_cast<std::int64_t>(value)) {}
  LogField(std::string_view name, std::int64_t value)
      : name(name), value(value) {}
  LogField(std::string_view name, std::uint64_t value)
      : name(name), value(static_cast<std::int64_t>(value)) {}
  LogField(std::string_view name, double value) : name(name), value(value) {}
  LogField(std::string_view name, bool value) : name(name), value(value) {}
  /// Whole milliseconds.
  LogField(std::string_view name, absl::Duration value)
      : name(name), value(absl::ToInt64Milliseconds(value)) {}
};

/// One JSON object a line on standard output, for each decision on a request
/// and each change of what the instance believes.
///
/// Writing never waits: lines go through a bounded queue to a thread of its
/// own, and a full queue loses its oldest lines. Above a number of lines a
/// second further ones are left out and counted.
class EventLog {
 public:
  EventLog(std::string_view instance, Clock clock);
  ~EventLog();

  /// @param part which part of the program speaks, e.g. "request"
  /// @param event what happened, e.g. "refused"
  void Write(std::string_view part, std::string_view event,
             std::initializer_list<LogField> fields);

  /// Lines left out or lost so far.
  std::uint64_t Dropped() const;

  /// Waits until what was written is out, or for the time at most.
  /// @return false if the reader of the output takes nothing
  bool Drain(absl::Duration at_most);

 private:
  bool TakeLine();

  const std::string instance;
  const Clock clock;
  double lines_left;
  Instant refilled;
  std::uint64_t dropped = 0;
  std::shared_ptr<spdlog::details::thread_pool> writer;
  std::shared_ptr<spdlog::async_logger> logger;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_EVENT_LOG_H_
