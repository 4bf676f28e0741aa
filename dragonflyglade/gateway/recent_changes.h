#ifndef DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_
#define DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dragonflyglade/gateway/store_types.h"

namespace dragonflyglade::gateway {

/// The latest urgent change of each key of the store that this instance
/// received, kept to pass them on to instances that lack them. Used by one
/// event loop.
class RecentChanges {
 public:
  /// Declares that all changes after this revision will be added. Only the
  /// first call has an effect.
  void CompleteAfter(std::uint64_t revision);

  /// Declares that keys which appeared and were removed again between two
  /// revisions are not known here. All that is known at the second one was
  /// added.
  void AddGap(std::uint64_t after, std::uint64_t through);

  /// Adds a change, which replaces an older one of the same key.
  void Add(StoreEvent event);

  /// The changes after a revision, ordered by revision and without those that
  /// were overwritten.
  /// @return nothing if changes after the revision may be missing here, so that
  ///   the store must be read
  std::optional<std::vector<StoreEvent>> Since(std::uint64_t revision) const;

  /// As Since, without the removals of keys that may be missing here.
  /// @return nothing if the latest change of a key that exists may be missing
  std::optional<std::vector<StoreEvent>> LatestSince(
      std::uint64_t revision) const;

  /// The change of a key at a revision; null if it is not here.
  const StoreEvent* Find(std::string_view key, std::uint64_t revision) const;

  /// Grows with each change.
  std::uint64_t Version() const { return this->version; }

 private:
  struct Gap {
    std::uint64_t after = 0;
    std::uint64_t through = 0;
  };

  using RevisionAndKey = std::pair<std::uint64_t, std::string>;

  std::vector<StoreEvent> After(std::uint64_t revision) const;
  bool IsInGap(std::uint64_t revision) const;
  void Remove(std::map<RevisionAndKey, StoreEvent>::iterator event);

  /// A transaction gives several keys the same revision.
  std::map<RevisionAndKey, StoreEvent> events;
  std::map<std::string, std::uint64_t, std::less<>> newest;  ///< by key
  std::size_t bytes = 0;
  std::uint64_t version = 0;
  /// The revision after which no change is missing; nothing before the first
  /// listing.
  std::optional<std::uint64_t> complete_after;
  std::deque<Gap> gaps;  ///< oldest first
  /// The newest revision of a change that was dropped for want of space.
  std::uint64_t dropped_through = 0;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_RECENT_CHANGES_H_
