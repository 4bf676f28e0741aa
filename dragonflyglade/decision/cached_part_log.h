#ifndef DRAGONFLYGLADE_DECISION_CACHED_PART_LOG_H_
#define DRAGONFLYGLADE_DECISION_CACHED_PART_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/prompt_cache_index.h"

namespace dragonflyglade {

/// A part of a prompt that an engine has cached, or no longer has.
struct CachedPart {
  std::string engine;        ///< its id
  std::int64_t born_ms = 0;  ///< start time of its process
  PromptPartKey key = 0;
  bool dropped = false;
};

/// The parts that engines have read or evicted lately, to be told to other
/// instances. Each is kept once for each engine, and again if that changes. Not
/// synchronised.
class CachedPartLog {
 public:
  /// Adds a part, unless the log has it from the last seconds.
  /// @param source who told of it
  void Add(CachedPart part, std::string_view source, Instant now);

  /// Parts that were added after the cursor, the newest first, and of each the
  /// newest only. What exceeds the number is left out for good.
  /// @param cursor position of the last call, 0 at first; is moved to the end
  /// @param source whose parts are left out
  std::vector<CachedPart> Since(std::uint64_t& cursor, std::string_view source,
                                std::size_t count) const;

  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    CachedPart part;
    std::string source;
    std::uint64_t identity = 0;  ///< hash of the part and its engine
    Instant added;
  };

  void RemoveOldest();

  std::deque<Entry> entries;  ///< oldest first
  /// By identity, the position of the newest entry, from the first ever added.
  absl::flat_hash_map<std::uint64_t, std::uint64_t> newest;
  std::uint64_t removed = 0;  ///< entries that were removed
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CACHED_PART_LOG_H_
