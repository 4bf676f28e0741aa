#include "dragonflyglade/decision/prompt_cache_index.h"

#include <algorithm>
#include <iterator>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

constexpr std::uint64_t kModelBits = 0xffff'0000'0000'0000;

std::uint64_t ModelBits(std::string_view model) {
  return StableHash(model) & kModelBits;
}

}  // namespace

PromptPartKeys::PromptPartKeys(std::string_view model, std::string_view adapter)
    : model(ModelBits(model)), chain(StableHash(adapter, StableHash(model))) {}

PromptPartKey PromptPartKeys::Append(std::string_view part_id) {
  this->chain = StableHash(part_id, this->chain);
  return this->model | (this->chain & ~kModelBits);
}

PromptCacheIndex::PromptCacheIndex(PromptCacheLimits limits) : limits(limits) {}

const PromptCacheIndex::Engine* PromptCacheIndex::Find(
    const EngineProcess& engine) const {
  const auto found = this->engines.find(StableHash(engine.id));
  if (found == this->engines.end()) return nullptr;
  return found->second.born_ms == engine.born_ms ? &found->second : nullptr;
}

PromptCacheIndex::Engine& PromptCacheIndex::FindOrAdd(
    const EngineProcess& engine) {
  Engine& state = this->engines[StableHash(engine.id)];
  if (state.born_ms != engine.born_ms) this->Clear(state);
  state.born_ms = engine.born_ms;
  return state;
}

double PromptCacheIndex::CachedTokens(
    const EngineProcess& engine,
    absl::Span<const SharedPromptPart> parts) const {
  const Engine* state = this->Find(engine);
  if (state == nullptr) return 0;
  double tokens = 0;
  for (const SharedPromptPart& part : parts) {
    if (!state->by_key.contains(part.key)) break;
    tokens += part.tokens;
  }
  return tokens;
}

void PromptCacheIndex::RecordSent(const EngineProcess& engine,
                                  absl::Span<const SharedPromptPart> parts,
                                  double read_tokens,
                                  std::optional<double> capacity_tokens) {
  Engine& state = this->FindOrAdd(engine);
  state.capacity_tokens = capacity_tokens;
  state.read_tokens += read_tokens;
  // From the last part on, so that no part is evicted before one that counts
  // only if it is cached.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    this->Use(state, *part).in_progress += 1;
  }
  this->EvictByMemory(state);
}

void PromptCacheIndex::RecordRead(const EngineProcess& engine,
                                  absl::Span<const SharedPromptPart> parts,
                                  bool read) {
  if (this->Find(engine) == nullptr) return;
  Engine& state = this->FindOrAdd(engine);
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    const auto known = state.by_key.find(part->key);
    if (known == state.by_key.end() && !read) continue;
    Entry& entry = read ? this->Use(state, *part) : *known->second;
    entry.in_progress = std::max(0, entry.in_progress - 1);
    entry.cached = entry.cached || read;
    if (entry.cached || entry.in_progress > 0) continue;
    this->Erase(state, known->second);
  }
  this->EvictByMemory(state);
}

void PromptCacheIndex::RecordOtherTokens(const EngineProcess& engine,
                                         double tokens) {
  if (this->Find(engine) == nullptr) return;
  Engine& state = this->FindOrAdd(engine);
  state.read_tokens += tokens;
  this->EvictByMemory(state);
}

void PromptCacheIndex::KeepModels(const EngineProcess& engine,
                                  absl::Span<const std::string_view> models) {
  const auto found = this->engines.find(StableHash(engine.id));
  if (found == this->engines.end()) return;
  Engine& state = found->second;
  if (state.born_ms != engine.born_ms) this->Clear(state);
  for (auto entry = state.entries.begin(); entry != state.entries.end();) {
    const auto next = std::next(entry);
    const std::uint64_t model = entry->part.key & kModelBits;
    const bool keeps = std::any_of(
        models.begin(), models.end(),
        [model](std::string_view name) { return ModelBits(name) == model; });
    if (!keeps) this->Erase(state, entry);
    entry = next;
  }
  if (state.entries.empty()) this->engines.erase(found);
}

void PromptCacheIndex::DropModel(std::string_view engine_id,
                                 std::string_view model) {
  const auto found = this->engines.find(StableHash(engine_id));
  if (found == this->engines.end()) return;
  Entries& entries = found->second.entries;
  for (auto entry = entries.begin(); entry != entries.end();) {
    const auto next = std::next(entry);
    if ((entry->part.key & kModelBits) == ModelBits(model)) {
      this->Erase(found->second, entry);
    }
    entry = next;
  }
}

PromptCacheIndex::Entry& PromptCacheIndex::Use(Engine& engine,
                                               const SharedPromptPart& part) {
  const auto known = engine.by_key.find(part.key);
  if (known == engine.by_key.end()) {
    this->EvictByCount(engine);
    engine.entries.push_back({part});
    engine.by_key[part.key] = std::prev(engine.entries.end());
    this->parts += 1;
  } else {
    engine.entries.splice(engine.entries.end(), engine.entries, known->second);
    engine.part_tokens -= known->second->part.tokens;
    known->second->part.tokens = part.tokens;
  }
  Entry& entry = engine.entries.back();
  engine.part_tokens += part.tokens;
  entry.last_use = engine.read_tokens;
  return entry;
}

void PromptCacheIndex::Erase(Engine& engine, Entries::iterator entry) {
  engine.part_tokens -= entry->part.tokens;
  engine.by_key.erase(entry->part.key);
  engine.entries.erase(entry);
  this->parts -= 1;
}

void PromptCacheIndex::Clear(Engine& engine) {
  this->parts -= engine.entries.size();
  engine = Engine();
}

void PromptCacheIndex::EvictByMemory(Engine& engine) {
  if (!engine.capacity_tokens.has_value()) return;
  const double capacity = *engine.capacity_tokens;
  while (!engine.entries.empty()) {
    const Entry& oldest = engine.entries.front();
    const double read_since = engine.read_tokens - oldest.last_use;
    if (oldest.in_progress > 0) return;
    if (engine.part_tokens <= capacity && read_since <= capacity) return;
    this->Erase(engine, engine.entries.begin());
  }
}

// Each engine has an equal share of the total, so that busy engines do not
// evict what is known of the others.
void PromptCacheIndex::EvictByCount(Engine& engine) {
  const std::size_t share = this->limits.parts / this->engines.size();
  const std::size_t most =
      std::clamp<std::size_t>(share, 1, this->limits.parts_per_engine);
  const auto is_full = [&] {
    return engine.entries.size() >= most || this->parts >= this->limits.parts;
  };
  while (!engine.entries.empty() && is_full()) {
    this->Erase(engine, engine.entries.begin());
  }
}

}  // namespace dragonflyglade
