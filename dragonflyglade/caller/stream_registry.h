#ifndef DRAGONFLYGLADE_CALLER_STREAM_REGISTRY_H_
#define DRAGONFLYGLADE_CALLER_STREAM_REGISTRY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace dragonflyglade {

/// The running calls of each caller key, so that they can be ended when the key
/// is withdrawn. Thread-safe; keys are spread over shards with a lock each.
class StreamRegistry {
 public:
  /// Ends one running call.
  using End = std::function<void()>;

  /// Registers a call for the lifetime of the entry.
  class Entry {
   public:
    Entry(StreamRegistry& registry, std::string_view key_id, End end);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

   private:
    StreamRegistry& registry;
    const std::string key_id;
    std::uint64_t number;
  };

  /// Ends all calls of a key.
  /// @return the number of calls
  std::size_t EndAll(std::string_view key_id);

  /// The ids of the keys with running calls.
  std::vector<std::string> KeysInUse() const;

 private:
  struct Shard {
    mutable absl::Mutex mutex;
    std::map<std::string, std::map<std::uint64_t, End>, std::less<>> calls
        ABSL_GUARDED_BY(mutex);
    std::uint64_t next_number ABSL_GUARDED_BY(mutex) = 1;
  };
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(std::string_view key_id);

  std::array<Shard, kShards> shards;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_STREAM_REGISTRY_H_
