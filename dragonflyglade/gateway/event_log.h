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

/// A named value of a log line.
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
  /// Written in whole milliseconds.
  LogField(std::string_view name, absl::Duration value)
      : name(name), value(absl::ToInt64Milliseconds(value)) {}
};

/// Structured log on standard output, one JSON object per line. Records the
/// decisions on requests and the changes of the instance's state.
///
/// Write never blocks: a thread writes the lines from a bounded queue, and a
/// full queue drops its oldest lines. Lines above a rate limit are dropped,
/// too. Dropped lines are counted.
class EventLog {
 public:
  EventLog(std::string_view instance, Clock clock);
  ~EventLog();

  /// Writes one line.
  /// @param part the component or subject of the event, e.g. "request"
  /// @param event what happened, e.g. "refused"
  void Write(std::string_view part, std::string_view event,
             std::initializer_list<LogField> fields);

  /// Number of lines dropped so far.
  std::uint64_t Dropped() const;

  /// Waits until all lines are written to standard output.
  /// @param at_most timeout
  /// @return false if lines remain after the timeout, because the reader of the
  ///     output is blocked
  bool Drain(absl::Duration timeout);

 private:
  bool ConsumeRateLimit();

  const std::string instance;
  const Clock clock;
  double rate_tokens;
  Instant last_refill;
  std::uint64_t dropped = 0;
  std::shared_ptr<spdlog::details::thread_pool> writer;
  std::shared_ptr<spdlog::async_logger> logger;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_EVENT_LOG_H_
