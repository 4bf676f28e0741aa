#ifndef DRAGONFLYGLADE_DECISION_PROMPT_CACHE_FOLLOWER_H_
#define DRAGONFLYGLADE_DECISION_PROMPT_CACHE_FOLLOWER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/prompt_cache_index.h"

namespace dragonflyglade {

/// An engine's statement on a part of a prompt.
struct PromptCacheEvent {
  std::int64_t number = 0;  ///< grows by one with each event of an epoch
  std::string model;
  std::string adapter;  ///< empty for the model itself
  std::string part_id;
  double tokens = 0;  ///< that it has cached now; 0 if none
};

/// What an engine says of its prefix cache.
struct PromptCacheEvents {
  std::string epoch;      ///< changes when the engine is restarted
  std::int64_t next = 0;  ///< the number of the next event
  bool lost = false;      ///< events before these are not kept any more
  bool complete = false;  ///< all that it has cached, without numbers
  std::vector<PromptCacheEvent> events;
};

/// A part as an engine names it.
struct HeldPart {
  PromptPartKey id_key = 0;
  double tokens = 0;  ///< that the engine has cached; 0 if none
};

/// Follows the events of one engine. Not synchronised.
class PromptCacheFollower {
 public:
  /// The effect of some events.
  struct Applied {
    std::vector<HeldPart> parts;
    int ignored = 0;  ///< came twice or late, or are of no resident model
    bool gap = false;
    bool restarted = false;
  };

  /// Applies events to the index. After a gap, what is known of the engine
  /// stays, but unsure. An epoch that has ended is ignored.
  /// @param models those that are resident at the engine
  Applied Apply(const PromptCacheEvents& events, const EngineProcess& engine,
                absl::Span<const std::string_view> models,
                PromptCacheIndex& index);

  /// The number of the first event to ask for.
  std::int64_t Next() const { return this->next; }
  /// Whether events are missing that a list of all parts would make up for.
  bool WantsList() const { return this->wants_list; }

 private:
  bool IsGap(const PromptCacheEvent& event) const;
  void BeginEpoch(const PromptCacheEvents& events, const EngineProcess& engine,
                  PromptCacheIndex& index, Applied& applied);
  void RecordGap(const EngineProcess& engine, PromptCacheIndex& index,
                 Applied& applied);

  std::optional<std::string> epoch;
  std::string ended_epoch;
  std::int64_t next = 0;
  std::optional<std::int64_t> last;  ///< number of the last event
  bool wants_list = false;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PROMPT_CACHE_FOLLOWER_H_
