#ifndef DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_
#define DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "dragonflyglade/gateway/store_types.h"

namespace dragonflyglade::gateway {

/// The latest urgent changes of the store that this instance received, kept to
/// pass them on to instances that lack them. Used by one event loop.
class RecentChanges {
 public:
  /// Declares that all changes after this revision will be added. Only the
  /// first call has an effect.
  void CompleteAfter(std::uint64_t revision);

  void Add(StoreEvent event);

  /// The changes after a revision, ordered by revision and without those that
  /// were overwritten.
  /// @return nothing if changes after the revision may be missing here, so that
  ///   the store must be read
  std::optional<std::vector<StoreEvent>> Since(std::uint64_t revision) const;

  /// Grows with each change.
  std::uint64_t Version() const { return this->version; }

 private:
  std::deque<StoreEvent> events;
  std::size_t bytes = 0;
  std::uint64_t version = 0;
  /// The revision after which no change is missing; nothing before the first
  /// listing.
  std::optional<std::uint64_t> complete_after;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_
