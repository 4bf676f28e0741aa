#include "dragonflyglade/caller/sse.h"

#include <fmt/format.h>

namespace dragonflyglade {
namespace {

constexpr char kCarriageReturn = '\r';
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataField = "data:";

// The data lines of one event, joined by newlines.
std::string EventData(std::string_view event) {
  std::string data;
  bool is_first_line = true;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line(event.substr(0, end));
    event = end == std::string_view::npos ? "" : event.substr(end + 1);
    if (line.substr(0, kDataField.size()) != kDataField) continue;
    line.remove_prefix(kDataField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (!is_first_line) data += '\n';
    is_first_line = false;
    data.append(line);
  }
  return data;
}

}  // namespace

std::vector<std::string> SseReader::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (c != kCarriageReturn) this->buffer.push_back(c);
  }
  std::vector<std::string> events;
  std::size_t end = 0;
  while ((end = this->buffer.find(kEventEnd)) != std::string::npos) {
    const std::string_view buffered = this->buffer;
    const std::string data = EventData(buffered.substr(0, end));
    this->buffer.erase(0, end + kEventEnd.size());
    if (!data.empty()) events.push_back(data);
  }
  return events;
}

std::string SseEvent(std::string_view data) {
  return fmt::format("data: {}\n\n", data);
}

std::string SseErrorEvent(std::string_view data) {
  return fmt::format("event: error\ndata: {}\n\n", data);
}

}  // namespace dragonflyglade
