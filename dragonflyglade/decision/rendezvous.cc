#include "dragonflyglade/decision/rendezvous.h"

// Inlines xxHash, so that users of the installed library need not link with it.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace dragonflyglade {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<std::string> RendezvousOwners(std::string_view key,
                                          absl::Span<const std::string> members,
                                          std::size_t count) {
  const std::uint64_t seed = StableHash(key);
  std::vector<std::pair<std::uint64_t, std::string_view>> weighted;
  weighted.reserve(members.size());
  for (const std::string& member : members) {
    weighted.emplace_back(StableHash(member, seed), member);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> owners;
  for (const auto& [weight, member] : weighted) {
    if (owners.size() == count) break;
    owners.emplace_back(member);
  }
  return owners;
}

bool IsRendezvousOwner(std::string_view key, std::string_view self,
                       absl::Span<const std::string> members,
                       std::size_t count) {
  const std::vector<std::string> owners = RendezvousOwners(key, members, count);
  return std::find(owners.begin(), owners.end(), self) != owners.end();
}

}  // namespace dragonflyglade
