#include "dragonflyglade/decision/cached_part_log.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// An unchanged part is told again after this time, so that others know that it
// is still in use.
constexpr absl::Duration kRepeatInterval = absl::Seconds(5);
// Bounds the memory when more parts are added than messages can carry.
constexpr std::size_t kMaxEntries = 4096;

std::uint64_t IdentityOf(const CachedPart& part) {
  const auto born = static_cast<std::uint64_t>(part.born_ms);
  return StableHash(part.engine, part.key ^ born);
}

}  // namespace

void CachedPartLog::Add(CachedPart part, std::string_view source, Instant now) {
  while (!this->entries.empty() &&
         (now - this->entries.front().added >= kRepeatInterval ||
          this->entries.size() >= kMaxEntries)) {
    this->RemoveOldest();
  }
  const std::uint64_t identity = IdentityOf(part);
  const std::uint64_t position = this->removed + this->entries.size();
  const auto [known, is_new] = this->newest.try_emplace(identity, position);
  if (!is_new) {
    const Entry& entry = this->entries[known->second - this->removed];
    if (entry.part.dropped == part.dropped) return;
    known->second = position;
  }
  this->entries.push_back(
      {std::move(part), std::string(source), identity, now});
}

std::vector<CachedPart> CachedPartLog::Since(std::uint64_t& cursor,
                                             std::string_view source,
                                             std::size_t count) const {
  const std::uint64_t end = this->removed + this->entries.size();
  const std::uint64_t first = std::clamp(cursor, this->removed, end);
  cursor = end;
  std::vector<CachedPart> parts;
  for (std::uint64_t i = end; i > first && parts.size() < count; --i) {
    const Entry& entry = this->entries[i - 1 - this->removed];
    const bool is_newest = this->newest.at(entry.identity) == i - 1;
    if (is_newest && entry.source != source) parts.push_back(entry.part);
  }
  return parts;
}

void CachedPartLog::RemoveOldest() {
  const auto newest = this->newest.find(this->entries.front().identity);
  if (newest != this->newest.end() && newest->second == this->removed) {
    this->newest.erase(newest);
  }
  this->entries.pop_front();
  this->removed += 1;
}

}  // namespace dragonflyglade
