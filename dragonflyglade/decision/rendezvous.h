#ifndef DRAGONFLYGLADE_DECISION_RENDEZVOUS_H_
#define DRAGONFLYGLADE_DECISION_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"

namespace dragonflyglade {

/// A hash that is the same in every process and on every machine (XXH3).
/// @param text what to hash
/// @param seed separates independent uses of the same text
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/// The members that own a key by rendezvous (highest random weight) hashing.
/// All processes that know the same members compute the same owners. When a
/// member joins or leaves, only the keys that it owns get other owners.
/// @param key what is owned, e.g. a workspace
/// @param members names of the candidates
/// @param count maximum number of owners
/// @return at most count names, the one with the highest weight first
/// Complexity: O(n log n) in the members.
std::vector<std::string> RendezvousOwners(std::string_view key,
                                          absl::Span<const std::string> members,
                                          std::size_t count);

/// Whether the member `self` is among the first count owners of the key.
bool IsRendezvousOwner(std::string_view key, std::string_view self,
                       absl::Span<const std::string> members,
                       std::size_t count);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RENDEZVOUS_H_
