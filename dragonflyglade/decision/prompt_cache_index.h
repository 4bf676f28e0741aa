#ifndef DRAGONFLYGLADE_DECISION_PROMPT_CACHE_INDEX_H_
#define DRAGONFLYGLADE_DECISION_PROMPT_CACHE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"

namespace dragonflyglade {

/// Identifies a part of a prompt and all parts before it, for a model and an
/// adapter. The upper 16 bits depend on the model only.
using PromptPartKey = std::uint64_t;

/// A part of a prompt that other requests share.
struct SharedPromptPart {
  PromptPartKey key = 0;
  double tokens = 0;
  PromptPartKey id_key = 0;  ///< by the part's id only, as engines name it
};

/// The key of a part without those before it, by which engines name parts.
PromptPartKey PartIdKey(std::string_view model, std::string_view adapter,
                        std::string_view part_id);
/// Whether the key is of a part of the model, with a chance of 1 in 65536 to
/// mistake another model for it.
bool IsPartOfModel(PromptPartKey key, std::string_view model);

/// Computes the keys of the parts of one prompt.
class PromptPartKeys {
 public:
  /// @param adapter empty for the model itself
  PromptPartKeys(std::string_view model, std::string_view adapter);

  /// The next part, with its keys.
  SharedPromptPart Append(std::string_view part_id, double tokens);

 private:
  const std::uint64_t scope;  ///< hash of the model and the adapter
  const std::uint64_t model;
  std::uint64_t chain;  ///< hash of the scope and the parts so far
};

/// The process of an engine; a restart changes the start time.
struct EngineProcess {
  std::string_view id;
  std::int64_t born_ms = 0;  ///< start time
};

struct PromptCacheLimits {
  std::size_t parts_per_engine = 128;
  /// Of all engines, about 6 MB; exceeded by at most one part for each.
  std::size_t parts = 65536;
};

/// Which shared parts of prompts engines have cached, as far as this instance
/// knows. Not synchronised.
///
/// An engine evicts the least recently used part when newer ones fill its
/// memory. The index does so, too, by the prompt tokens that it knows the
/// engine has read since. A wrong entry costs the prefill of a part.
class PromptCacheIndex {
 public:
  explicit PromptCacheIndex(PromptCacheLimits limits = {});

  /// Tokens of the leading parts that the engine has cached, or will have once
  /// it has read prompts that were sent to it.
  /// Complexity: linear in the parts.
  double CachedTokens(const EngineProcess& engine,
                      absl::Span<const SharedPromptPart> parts) const;

  /// Known tokens that the engine would evict to cache the other parts, too; 0
  /// if its memory is not known.
  /// Complexity: linear in the parts.
  double EvictedTokens(const EngineProcess& engine,
                       absl::Span<const SharedPromptPart> parts) const;

  /// A request was sent to the engine.
  /// @param read_tokens prompt tokens that the engine has to read for it
  /// @param capacity_tokens memory of the engine, if known
  void RecordSent(const EngineProcess& engine,
                  absl::Span<const SharedPromptPart> parts, double read_tokens,
                  std::optional<double> capacity_tokens);
  /// A request that was sent has its first output, or has ended without one.
  /// @param read whether the engine has read the prompt
  void RecordRead(const EngineProcess& engine,
                  absl::Span<const SharedPromptPart> parts, bool read);
  /// Another instance told that the engine has read a part.
  void AddRead(const EngineProcess& engine, PromptPartKey key);
  /// The engine says how many tokens of a part it has cached; 0 if none.
  void RecordHeld(const EngineProcess& engine, PromptPartKey id_key,
                  double tokens);
  /// Some of what the engine said is missing: what is known of it counts half
  /// until the engine's answers or its own words confirm it.
  void MarkUnsure(const EngineProcess& engine);
  /// Drops all that is known of the engine.
  void Drop(std::string_view engine_id);
  /// The engine reads prompt tokens of which it is not known, or does not
  /// matter, to which parts they belong.
  void RecordOtherTokens(const EngineProcess& engine, double tokens);

  /// Drops what an earlier process of the engine had cached, and the parts of
  /// all models but these. Drops the engine if none are left.
  void KeepModels(const EngineProcess& engine,
                  absl::Span<const std::string_view> models);
  /// Drops the parts of a model, which the engine has unloaded.
  void DropModel(std::string_view engine_id, std::string_view model);

  /// Number of parts, each counted once for each engine.
  std::size_t Parts() const { return this->parts; }

 private:
  struct Entry {
    SharedPromptPart part;
    bool cached = false;  ///< else its prefill may be in progress
    bool unsure = false;  ///< see MarkUnsure
    int in_progress = 0;  ///< requests that wait for their first output
    double last_use = 0;  ///< Engine::read_tokens then
    /// Tokens that the engine said to have, if it said so.
    std::optional<double> held_tokens;
  };
  using Entries = std::list<Entry>;
  struct Engine {
    std::int64_t born_ms = 0;
    Entries entries;  ///< least recently used first
    absl::flat_hash_map<PromptPartKey, Entries::iterator> by_key;
    double part_tokens = 0;  ///< of all entries
    double read_tokens = 0;  ///< read since the first entry
    std::optional<double> capacity_tokens;
  };
  using Engines = absl::flat_hash_map<std::uint64_t, Engine>;

  /// What is known of the part; null if nothing.
  static const Entry* EntryOf(const Engine& engine,
                              const SharedPromptPart& part);
  const Engine* Find(const EngineProcess& engine) const;
  /// The engine, without what an earlier process had cached.
  Engine& FindOrAdd(const EngineProcess& engine);
  /// The entry of the part, which becomes the most recently used one.
  Entry& Use(Engine& engine, const SharedPromptPart& part);
  void Erase(Engine& engine, Entries::iterator entry);
  void Clear(Engine& engine);
  /// Drops the entries that newer ones have evicted from the engine's memory.
  void EvictByMemory(Engine& engine);
  /// Makes room for an entry of the engine.
  void EvictByCount(Engine& engine);

  const PromptCacheLimits limits;
  Engines engines;  ///< by the hash of the id
  /// Mean size of the parts that requests had; stands for an unknown one.
  double typical_tokens = 0;
  std::size_t parts = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PROMPT_CACHE_INDEX_H_
