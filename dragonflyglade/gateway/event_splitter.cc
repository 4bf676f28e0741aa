#include "dragonflyglade/gateway/event_splitter.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "dragonflyglade/net/text.h"

namespace dragonflyglade::gateway {
namespace {

constexpr std::size_t kLongestEnd = 4;  // "\r\n\r\n"

// Returns the position after the blank line that ends the last complete event;
// 0 if there is none.
std::size_t EndOfEvents(std::string_view text) {
  std::size_t end = 0;
  const std::size_t newlines = text.rfind("\n\n");
  if (newlines != std::string_view::npos) end = newlines + 2;
  const std::size_t crlf_lines = text.rfind("\r\n\r\n");
  if (crlf_lines != std::string_view::npos) {
    end = std::max(end, crlf_lines + 4);
  }
  return end;
}

}  // namespace

std::string_view EventSplitter::Add(std::string_view bytes) {
  this->buffer.erase(0, this->returned);
  // The bytes before hold no end, but may hold the beginning of one. Searched
  // again at each call, a long event would take quadratic time.
  const std::size_t searched =
      std::max(this->buffer.size(), kLongestEnd) - kLongestEnd;
  this->buffer.append(bytes);
  const std::string_view text = this->buffer;
  const std::size_t end = EndOfEvents(text.substr(searched));
  this->returned = end == 0 ? 0 : searched + end;
  const std::string_view events(this->buffer.data(), this->returned);
  this->ParseLines(events);
  return events;
}

void EventSplitter::Restart() {
  this->buffer.clear();
  this->returned = 0;
  this->comment_bytes = 0;
}

void EventSplitter::ParseLines(std::string_view events) {
  constexpr std::string_view kField = "id:";
  while (!events.empty()) {
    const std::size_t end = std::min(events.find('\n'), events.size() - 1);
    const std::string_view line = events.substr(0, end);
    events.remove_prefix(end + 1);
    this->comment_bytes += end + 1;
    const bool is_comment = line.substr(0, 1) == ":";
    const bool is_blank = line.empty() || line == "\r";
    if (!is_comment && !is_blank) this->comment_bytes = 0;
    if (line.substr(0, kField.size()) != kField) continue;
    const absl::string_view value =
        absl::StripAsciiWhitespace(ToAbslView(line).substr(kField.size()));
    this->last_id = ToStdString(value);
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(value, &number)) continue;
    if (this->last_number.has_value() && number <= *this->last_number) {
      this->out_of_order = true;
    }
    this->last_number = number;
  }
}

}  // namespace dragonflyglade::gateway
