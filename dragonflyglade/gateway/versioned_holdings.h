#ifndef DRAGONFLYGLADE_GATEWAY_VERSIONED_HOLDINGS_H_
#define DRAGONFLYGLADE_GATEWAY_VERSIONED_HOLDINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// What is at the targets, by versions, so that the holder of the placing duty
/// tells an instance only what changed since the version that it knows. One
/// event loop.
class VersionedHoldings {
 public:
  /// What is there now; targets that are missing from it are gone.
  /// Complexity: O(n log n) in the targets.
  void Set(std::vector<wire::TargetHoldings> all);

  /// The duty ended: nothing is known any more. Versions go on.
  void Clear();

  /// Grows with each change; 0 while nothing is known.
  std::int64_t Version() const {
    return this->items.empty() ? 0 : this->version;
  }

  /// What changed after a version.
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
