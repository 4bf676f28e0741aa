#ifndef DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_
#define DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "dragonflyglade/gateway/store_types.h"

namespace dragonflyglade::gateway {

/// The urgent changes of the store that this instance saw lately, so that it
/// can hand them on to instances that lack them. One event loop.
class RecentChanges {
 public:
  /// All changes after this revision will be added.
  void CompleteAfter(std::uint64_t revision);

  void Add(StoreEvent event);

  /// The changes after a revision in the order of their revisions, those that
  /// were overwritten left out.
  /// @return nothing if changes after it may be missing here; the store must
  ///   be read then
  std::optional<std::vector<StoreEvent>> Since(std::uint64_t revision) const;

  /// Grows with each change.
  std::uint64_t Version() const { return this->version; }

 private:
  std::deque<StoreEvent> events;
  std::size_t bytes = 0;
  std::uint64_t version = 0;
  /// Nothing before the first listing.
  std::optional<std::uint64_t> complete_after;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_
