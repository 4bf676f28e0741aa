#include "dragonflyglade/decision/prompt_cache_index.h"

#include <algorithm>
#include <iterator>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

constexpr std::uint64_t kModelBits = 0xffff'0000'0000'0000;
// The share of a part's tokens that counts while an event on it may be missing.
constexpr double kUnsureShare = 0.5;
// The share of an engine's memory that counts as usable. The rest is left for
// parts that other instances have sent and that are not known here yet.
constexpr double kUsedMemoryShare = 0.9;
// The weight of the newest part in the moving average of their tokens.
constexpr double kTypicalWeight = 0.05;

std::uint64_t ModelBits(std::string_view model) {
  return StableHash(model) & kModelBits;
}

std::uint64_t ScopeHash(std::string_view model, std::string_view adapter) {
  return StableHash(adapter, StableHash(model));
}

}  // namespace

PromptPartKeys::PromptPartKeys(std::string_view model, std::string_view adapter)
    : scope(ScopeHash(model, adapter)),
      model(ModelBits(model)),
      chain(this->scope) {}

SharedPromptPart PromptPartKeys::Append(std::string_view part_id,
                                        double tokens) {
  this->chain = StableHash(part_id, this->chain);
  const std::uint64_t id_key = StableHash(part_id, ~this->scope);
  return {this->model | (this->chain & ~kModelBits), tokens,
          this->model | (id_key & ~kModelBits)};
}

PromptPartKey PartIdKey(std::string_view model, std::string_view adapter,
                        std::string_view part_id) {
  return PromptPartKeys(model, adapter).Append(part_id, 0).id_key;
}

bool IsPartOfModel(PromptPartKey key, std::string_view model) {
  return (key & kModelBits) == ModelBits(model);
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
    const Entry* entry = EntryOf(*state, part);
    if (entry == nullptr) break;
    const double held =
        std::min(part.tokens, entry->held_tokens.value_or(part.tokens));
    tokens += entry->unsure ? kUnsureShare * held : held;
    if (held < part.tokens) break;
  }
  return tokens;
}

double PromptCacheIndex::EvictedTokens(
    const EngineProcess& engine,
    absl::Span<const SharedPromptPart> parts) const {
  const Engine* state = this->Find(engine);
  if (state == nullptr || !state->capacity_tokens.has_value()) return 0;
  double missing = 0;
  for (const SharedPromptPart& part : parts) {
    if (EntryOf(*state, part) == nullptr) missing += part.tokens;
  }
  const double room =
      kUsedMemoryShare * *state->capacity_tokens - state->part_tokens;
  return std::clamp(missing - room, 0.0, missing);
}

const PromptCacheIndex::Entry* PromptCacheIndex::EntryOf(
    const Engine& engine, const SharedPromptPart& part) {
  auto found = engine.by_key.find(part.key);
  if (found == engine.by_key.end()) found = engine.by_key.find(part.id_key);
  return found == engine.by_key.end() ? nullptr : &*found->second;
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
    this->typical_tokens +=
        kTypicalWeight * (part->tokens - this->typical_tokens);
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
    if (read) {
      entry.cached = true;
      entry.unsure = false;
      entry.held_tokens.reset();
    }
    if (entry.cached || entry.in_progress > 0) continue;
    this->Erase(state, known->second);
  }
  this->EvictByMemory(state);
}

void PromptCacheIndex::AddRead(const EngineProcess& engine, PromptPartKey key) {
  Engine& state = this->FindOrAdd(engine);
  const auto known = state.by_key.find(key);
  const bool is_new = known == state.by_key.end();
  const SharedPromptPart part =
      is_new ? SharedPromptPart{key, this->typical_tokens}
             : known->second->part;
  // What the engine said of the part's size holds; reports state none.
  Entry& entry = this->Use(state, part);
  entry.cached = true;
  entry.unsure = false;
  this->EvictByMemory(state);
}

void PromptCacheIndex::RecordHeld(const EngineProcess& engine,
                                  PromptPartKey id_key, double tokens) {
  Engine& state = this->FindOrAdd(engine);
  bool known = false;
  for (auto entry = state.entries.begin(); entry != state.entries.end();) {
    const auto next = std::next(entry);
    if (entry->part.id_key == id_key || entry->part.key == id_key) {
      known = true;
      entry->cached = true;
      entry->unsure = false;
      entry->held_tokens = tokens;
      if (tokens <= 0 && entry->in_progress == 0) this->Erase(state, entry);
    }
    entry = next;
  }
  if (known || tokens <= 0) return;
  Entry& entry = this->Use(state, {id_key, tokens, id_key});
  entry.cached = true;
  entry.held_tokens = tokens;
  this->EvictByMemory(state);
}

void PromptCacheIndex::MarkUnsure(const EngineProcess& engine) {
  if (this->Find(engine) == nullptr) return;
  for (Entry& entry : this->FindOrAdd(engine).entries) entry.unsure = true;
}

void PromptCacheIndex::Drop(std::string_view engine_id) {
  const auto found = this->engines.find(StableHash(engine_id));
  if (found == this->engines.end()) return;
  this->Clear(found->second);
  this->engines.erase(found);
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
    const PromptPartKey key = entry->part.key;
    const bool keeps = std::any_of(
        models.begin(), models.end(),
        [key](std::string_view name) { return IsPartOfModel(key, name); });
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
    if (IsPartOfModel(entry->part.key, model)) {
      this->Erase(found->second, entry);
    }
    entry = next;
  }
}

PromptCacheIndex::Entry& PromptCacheIndex::Use(Engine& engine,
                                               const SharedPromptPart& part) {
  const auto known = engine.by_key.find(part.key);
  if (known == engine.by_key.end()) {
    Entry entry;
    // What the engine said of the id holds for the part here.
    const auto lone = engine.by_key.find(part.id_key);
    if (lone != engine.by_key.end()) {
      entry = *lone->second;
      this->Erase(engine, lone->second);
    }
    entry.part = part;
    this->EvictByCount(engine);
    engine.entries.push_back(entry);
    engine.by_key[part.key] = std::prev(engine.entries.end());
    this->parts += 1;
  } else {
    engine.entries.splice(engine.entries.end(), engine.entries, known->second);
    engine.part_tokens -= known->second->part.tokens;
    known->second->part = part;
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
