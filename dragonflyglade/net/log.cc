#include "dragonflyglade/net/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace dragonflyglade {
namespace {

// In the order of LogPart.
constexpr std::array<const char*, 7> kPartNames = {
    "caller", "target", "store", "operator", "peer", "placement", "instance"};

// Formats a message as a JSON string, so that any message keeps its log line
// one valid JSON object.
class JsonStringFormatter : public spdlog::custom_flag_formatter {
 public:
  void format(const spdlog::details::log_msg& message, const std::tm&,
              spdlog::memory_buf_t& out) override {
    using nlohmann::json;
    const std::string text(message.payload.data(), message.payload.size());
    const std::string quoted =
        json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    out.append(quoted.data(), quoted.data() + quoted.size());
  }

  std::unique_ptr<spdlog::custom_flag_formatter> clone() const override {
    return std::make_unique<JsonStringFormatter>();
  }
};

std::shared_ptr<spdlog::sinks::stderr_sink_mt>& Sink() {
  static auto& sink = *new std::shared_ptr<spdlog::sinks::stderr_sink_mt>(
      std::make_shared<spdlog::sinks::stderr_sink_mt>());
  return sink;
}

using Loggers = std::array<std::shared_ptr<spdlog::logger>, kPartNames.size()>;

Loggers& AllLoggers() {
  static Loggers& loggers = *[] {
    auto* created = new Loggers;
    for (std::size_t i = 0; i < kPartNames.size(); ++i) {
      (*created)[i] = std::make_shared<spdlog::logger>(kPartNames[i], Sink());
      (*created)[i]->set_level(spdlog::level::warn);
    }
    return created;
  }();
  return loggers;
}

}  // namespace

void SetUpLog(const LogOptions& options) {
  auto formatter = std::make_unique<spdlog::pattern_formatter>(
      spdlog::pattern_time_type::utc);
  if (options.json_lines) {
    formatter->add_flag<JsonStringFormatter>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n",)"
        R"("message":%*})");
  } else {
    formatter->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l [%n] %v");
  }
  Sink()->set_formatter(std::move(formatter));
  for (auto& logger : AllLoggers()) logger->set_level(options.level);
}

spdlog::logger& LogFor(LogPart part) {
  return *AllLoggers().at(static_cast<std::size_t>(part));
}

}  // namespace dragonflyglade
