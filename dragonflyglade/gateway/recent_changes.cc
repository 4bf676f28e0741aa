#include "dragonflyglade/gateway/recent_changes.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// Some minutes of a calm day, some seconds of a busy one; whoever is further
// behind lists the store anew.
constexpr std::size_t kMostBytes = std::size_t{256} * 1024;
// A summary with so many changes still fits a datagram.
constexpr std::size_t kMostBytesAtOnce = std::size_t{24} * 1024;

std::size_t SizeOf(const StoreEvent& event) {
  return event.item.key.size() + event.item.value.size();
}

}  // namespace

void RecentChanges::CompleteAfter(std::uint64_t revision) {
  if (!this->complete_after.has_value()) this->complete_after = revision;
}

void RecentChanges::Add(StoreEvent event) {
  this->bytes += SizeOf(event);
  this->events.push_back(std::move(event));
  while (this->bytes > kMostBytes) {
    const StoreEvent& oldest = this->events.front();
    this->bytes -= SizeOf(oldest);
    if (this->complete_after.has_value()) {
      this->complete_after =
          std::max(*this->complete_after, oldest.item.revision);
    }
    this->events.pop_front();
  }
}

std::optional<std::vector<StoreEvent>> RecentChanges::Since(
    std::uint64_t revision) const {
  if (!this->complete_after.has_value()) return std::nullopt;
  if (revision < *this->complete_after) return std::nullopt;
  std::map<std::string_view, const StoreEvent*> newest;
  for (const StoreEvent& event : this->events) {
    if (event.item.revision <= revision) continue;
    const StoreEvent*& known = newest[event.item.key];
    if (known == nullptr || known->item.revision < event.item.revision) {
      known = &event;
    }
  }
  std::vector<StoreEvent> changes;
  std::size_t size = 0;
  for (const auto& [key, event] : newest) {
    size += SizeOf(*event);
    if (size > kMostBytesAtOnce) return std::nullopt;
    changes.push_back(*event);
  }
  return changes;
}

}  // namespace dragonflyglade::gateway
