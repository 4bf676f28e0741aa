#include "dragonflyglade/gateway/recent_changes.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// Enough for some minutes of ordinary changes beside a configuration of the
// largest size. Instances that lack older changes read the store.
constexpr std::size_t kMaxBytes = std::size_t{4} * 1024 * 1024;
// Older gaps are merged, so that more is taken for missing than is.
constexpr std::size_t kMaxGaps = 16;

std::size_t SizeOf(const StoreEvent& event) {
  return event.item.key.size() + event.item.value.size();
}

}  // namespace

void RecentChanges::CompleteAfter(std::uint64_t revision) {
  if (!this->complete_after.has_value()) this->complete_after = revision;
}

void RecentChanges::AddGap(std::uint64_t after, std::uint64_t through) {
  this->gaps.push_back({after, through});
  if (this->gaps.size() <= kMaxGaps) return;
  this->gaps[1].after = std::min(this->gaps[0].after, this->gaps[1].after);
  this->gaps.pop_front();
}

// An instance that knows a revision inside of a gap may have a key that was
// removed before the gap's end. One that knows an earlier revision never saw
// it.
bool RecentChanges::IsInGap(std::uint64_t revision) const {
  return std::any_of(this->gaps.begin(), this->gaps.end(),
                     [revision](const Gap& gap) {
                       return gap.after < revision && revision < gap.through;
                     });
}

void RecentChanges::Add(StoreEvent event) {
  this->version += 1;
  const std::string key = event.item.key;
  const std::uint64_t revision = event.item.revision;
  const auto known = this->newest.find(key);
  if (known != this->newest.end()) {
    if (known->second >= revision) return;
    this->Remove(this->events.find({known->second, key}));
  }
  this->bytes += SizeOf(event);
  this->newest[key] = revision;
  this->events.emplace(RevisionAndKey(revision, key), std::move(event));
  while (this->bytes > kMaxBytes) {
    const std::uint64_t dropped = this->events.begin()->first.first;
    this->dropped_through = std::max(this->dropped_through, dropped);
    if (this->complete_after.has_value()) {
      this->complete_after = std::max(*this->complete_after, dropped);
    }
    this->Remove(this->events.begin());
  }
}

void RecentChanges::Remove(
    std::map<RevisionAndKey, StoreEvent>::iterator event) {
  this->bytes -= SizeOf(event->second);
  this->newest.erase(event->first.second);
  this->events.erase(event);
}

std::optional<std::vector<StoreEvent>> RecentChanges::Since(
    std::uint64_t revision) const {
  if (!this->complete_after.has_value()) return std::nullopt;
  if (revision < *this->complete_after || this->IsInGap(revision)) {
    return std::nullopt;
  }
  return this->After(revision);
}

std::optional<std::vector<StoreEvent>> RecentChanges::LatestSince(
    std::uint64_t revision) const {
  if (!this->complete_after.has_value()) return std::nullopt;
  if (revision < this->dropped_through) return std::nullopt;
  return this->After(revision);
}

std::vector<StoreEvent> RecentChanges::After(std::uint64_t revision) const {
  std::vector<StoreEvent> changes;
  const auto first = this->events.lower_bound({revision + 1, std::string()});
  for (auto event = first; event != this->events.end(); ++event) {
    changes.push_back(event->second);
  }
  return changes;
}

const StoreEvent* RecentChanges::Find(std::string_view key,
                                      std::uint64_t revision) const {
  const auto found =
      this->events.find(RevisionAndKey(revision, std::string(key)));
  return found == this->events.end() ? nullptr : &found->second;
}

}  // namespace dragonflyglade::gateway
