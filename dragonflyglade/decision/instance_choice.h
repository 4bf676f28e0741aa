#ifndef DRAGONFLYGLADE_DECISION_INSTANCE_CHOICE_H_
#define DRAGONFLYGLADE_DECISION_INSTANCE_CHOICE_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "absl/types/span.h"

namespace dragonflyglade {

/// An instance that callers could be directed to.
struct InstanceCandidate {
  std::string_view name;
  std::string_view zone;  ///< availability zone
  double capacity = 0;    ///< stream events per second; see InstanceCapacity
};

/// Stream events per second that an instance can forward to callers.
/// @param cores number of processor cores, which may be fractional
/// @param link_mbps bandwidth of its network link in megabits per second
double InstanceCapacity(double cores, double link_mbps);

/// Chooses the instances that callers are directed to: those with at least half
/// of the largest capacity, the two largest of each availability zone, and as
/// many more as are needed for a fifth of the total capacity.
///
/// The choice does not depend on the order of the candidates, so all instances
/// that know the same candidates choose the same instances.
/// @return indexes into the candidates by decreasing capacity, except that
/// those
///   added for the total capacity come last
/// Complexity: O(n log n).
std::vector<std::size_t> ChooseInstances(
    absl::Span<const InstanceCandidate> candidates);

/// Orders the candidates by decreasing capacity. A stable hash of key and name
/// orders those of equal capacity, differently for each key.
/// @return indexes into the candidates
std::vector<std::size_t> OrderByCapacity(
    absl::Span<const InstanceCandidate> candidates, std::string_view key);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_INSTANCE_CHOICE_H_
