#include "dragonflyglade/gateway/event_splitter.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "dragonflyglade/net/text.h"

namespace dragonflyglade::gateway {
namespace {

// The end of the last whole event: behind its blank line.
std::size_t EndOfEvents(std::string_view text) {
  std::size_t end = 0;
  const std::size_t plain = text.rfind("\n\n");
  if (plain != std::string_view::npos) end = plain + 2;
  const std::size_t with_returns = text.rfind("\r\n\r\n");
  if (with_returns != std::string_view::npos) {
    end = std::max(end, with_returns + 4);
  }
  return end;
}

}  // namespace

std::string_view EventSplitter::Add(std::string_view bytes) {
  this->held.erase(0, this->ready);
  this->ready = 0;
  this->held.append(bytes);
  this->ready = EndOfEvents(this->held);
  const std::string_view events(this->held.data(), this->ready);
  this->TakeIds(events);
  return events;
}

void EventSplitter::Restart() {
  this->held.clear();
  this->ready = 0;
}

void EventSplitter::TakeIds(std::string_view events) {
  constexpr std::string_view kField = "id:";
  while (!events.empty()) {
    const std::size_t end = std::min(events.find('\n'), events.size() - 1);
    const std::string_view line = events.substr(0, end);
    events.remove_prefix(end + 1);
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
