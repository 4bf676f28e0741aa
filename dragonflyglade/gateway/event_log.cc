#include "dragonflyglade/gateway/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// Capacity of the queue to the writing thread. At about 300 bytes per line this
// limits its memory to 1.2 MB.
constexpr std::size_t kQueueLines = 4096;
// A busy instance serves some dozens of requests per second and writes two
// lines for each. The rate limit leaves room for bursts, and limits the cost of
// a flood of refusals.
constexpr double kLinesPerSecond = 400;
constexpr double kLinesBurst = 800;

// Of a text that a caller may have chosen. Lines of callers' whole fields would
// fill the memory while nobody reads the log.
constexpr std::size_t kMaxTextBytes = 512;

struct Appender {
  fmt::memory_buffer& out;

  void operator()(std::string_view text) const {
    using nlohmann::json;
    std::string shown(text.substr(0, kMaxTextBytes));
    if (shown.size() < text.size()) shown += "...";
    const std::string quoted =
        json(shown).dump(-1, ' ', false, json::error_handler_t::replace);
    this->out.append(quoted.data(), quoted.data() + quoted.size());
  }
  void operator()(std::int64_t value) const {
    fmt::format_to(std::back_inserter(this->out), "{}", value);
  }
  void operator()(double value) const {
    fmt::format_to(std::back_inserter(this->out), "{:.3f}", value);
  }
  void operator()(bool value) const {
    fmt::format_to(std::back_inserter(this->out), "{}", value);
  }
};

}  // namespace

EventLog::EventLog(std::string_view instance, Clock clock)
    : instance(instance),
      clock(std::move(clock)),
      rate_tokens(kLinesBurst),
      last_refill(this->clock.Now()),
      writer(std::make_shared<spdlog::details::thread_pool>(kQueueLines, 1)),
      logger(std::make_shared<spdlog::async_logger>(
          "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
          this->writer, spdlog::async_overflow_policy::overrun_oldest)) {
  this->logger->set_pattern("%v", spdlog::pattern_time_type::utc);
  this->logger->set_level(spdlog::level::info);
}

EventLog::~EventLog() { this->logger->flush(); }

bool EventLog::ConsumeRateLimit() {
  const Instant now = this->clock.Now();
  const double refill =
      kLinesPerSecond * absl::ToDoubleSeconds(now - this->last_refill);
  this->rate_tokens = std::min(kLinesBurst, this->rate_tokens + refill);
  this->last_refill = now;
  if (this->rate_tokens < 1) return false;
  this->rate_tokens -= 1;
  return true;
}

void EventLog::Write(std::string_view part, std::string_view event,
                     std::initializer_list<LogField> fields) {
  if (!this->ConsumeRateLimit()) {
    this->dropped += 1;
    return;
  }
  fmt::memory_buffer line;
  fmt::format_to(
      std::back_inserter(line),
      R"({{"t":"{}","instance":"{}","part":"{}","event":"{}")",
      absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ",
                       absl::FromChrono(std::chrono::system_clock::now()),
                       absl::UTCTimeZone()),
      this->instance, part, event);
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(line), R"(,"{}":)", field.name);
    std::visit(Appender{line}, field.value);
  }
  line.push_back('}');
  this->logger->info(std::string_view(line.data(), line.size()));
}

// The flush entry leaves the queue after all lines before it are written, so an
// empty queue means that they are.
bool EventLog::Drain(absl::Duration timeout) {
  constexpr absl::Duration kPollInterval = absl::Milliseconds(5);
  this->logger->flush();
  const Instant end = this->clock.Now() + timeout;
  while (this->writer->queue_size() > 0) {
    if (this->clock.Now() >= end) return false;
    absl::SleepFor(kPollInterval);
  }
  return true;
}

std::uint64_t EventLog::Dropped() const {
  return this->dropped + this->writer->overrun_counter();
}

}  // namespace dragonflyglade::gateway
