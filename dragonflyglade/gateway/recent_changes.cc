#include "dragonflyglade/gateway/recent_changes.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// Enough for some minutes of ordinary changes. A configuration may have a
// hundred kilobytes, and several may follow one another within seconds.
// Instances that lack older changes read the store.
constexpr std::size_t kMaxBytes = std::size_t{1024} * 1024;

std::size_t SizeOf(const StoreEvent& event) {
  return event.item.key.size() + event.item.value.size();
}

}  // namespace

void RecentChanges::CompleteAfter(std::uint64_t revision) {
  if (!this->complete_after.has_value()) this->complete_after = revision;
}

void RecentChanges::Add(StoreEvent event) {
  this->bytes += SizeOf(event);
  this->version += 1;
  this->events.push_back(std::move(event));
  while (this->bytes > kMaxBytes) {
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
  changes.reserve(newest.size());
  for (const auto& [key, event] : newest) changes.push_back(*event);
  std::sort(changes.begin(), changes.end(),
            [](const StoreEvent& one, const StoreEvent& other) {
              return one.item.revision < other.item.revision;
            });
  return changes;
}

}  // namespace dragonflyglade::gateway
