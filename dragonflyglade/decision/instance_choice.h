#ifndef DRAGONFLYGLADE_DECISION_INSTANCE_CHOICE_H_
#define DRAGONFLYGLADE_DECISION_INSTANCE_CHOICE_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "absl/types/span.h"

namespace dragonflyglade {

/// An instance that callers could be sent to.
struct InstanceCandidate {
  std::string_view name;
  std::string_view zone;
  double capacity = 0;  ///< see InstanceCapacity
};

/// Stream events a second that an instance can pass on.
/// @param cores of the processor, fractions included
/// @param link_mbps of its network link, megabits a second
double InstanceCapacity(double cores, double link_mbps);

/// The instances that callers are sent to: those of at least half of the
/// strongest one's capacity, the two strongest of each zone, and as many more
/// as it takes for a fifth of the fleet's capacity.
///
/// All instances choose the same from the same offers.
/// @return indexes into the offers, the strongest first
/// Complexity: O(n log n).
std::vector<std::size_t> ChooseInstances(
    absl::Span<const InstanceCandidate> offers);

/// The offers' order of strength: by capacity, then by a stable hash, so that
/// equal instances do not all prefer the same one for different keys.
std::vector<std::size_t> OrderByCapacity(
    absl::Span<const InstanceCandidate> offers, std::string_view key);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_INSTANCE_CHOICE_H_
