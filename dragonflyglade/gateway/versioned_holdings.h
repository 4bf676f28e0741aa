#ifndef DRAGONFLYGLADE_GATEWAY_VERSIONED_HOLDINGS_H_
#define DRAGONFLYGLADE_GATEWAY_VERSIONED_HOLDINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// The residency of the targets with version numbers, so that the leader sends
/// an instance only what changed since the version that it knows. Used by one
/// event loop.
class VersionedHoldings {
 public:
  /// Replaces the residency of all targets. Targets that are missing from it
  /// are removed.
  /// Complexity: O(n log n) in the targets.
  void Set(std::vector<wire::TargetHoldings> all);

  /// Replaces the residency of one target.
  /// @return whether it changed
  /// Complexity: O(log n) in the targets.
  bool Update(wire::TargetHoldings holdings);

  /// Forgets all targets, after the leader lease ended. Later versions continue
  /// from the last one.
  void Clear();

  /// The version, which grows with each change; 0 while there are no targets.
  std::int64_t Version() const {
    return this->items.empty() ? 0 : this->version;
  }

  /// The targets whose residency changed after a version.
  std::vector<wire::TargetHoldings> Since(std::int64_t known) const;

 private:
  struct Item {
    wire::TargetHoldings holdings;
    std::int64_t changed = 0;
  };

  std::int64_t version = 0;
  std::map<std::string, Item> items;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_VERSIONED_HOLDINGS_H_
