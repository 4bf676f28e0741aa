#include "dragonflyglade/decision/prompt_cache_follower.h"

#include <algorithm>

namespace dragonflyglade {

PromptCacheFollower::Applied PromptCacheFollower::Apply(
    const PromptCacheEvents& events, const EngineProcess& engine,
    absl::Span<const std::string_view> models, PromptCacheIndex& index) {
  Applied applied;
  if (!this->ended_epoch.empty() && events.epoch == this->ended_epoch) {
    applied.ignored = static_cast<int>(events.events.size());
    return applied;
  }
  const bool is_first = !this->epoch.has_value();
  if (this->epoch != events.epoch) {
    this->BeginEpoch(events, engine, index, applied);
  }
  this->next = events.next;
  if (events.lost && !is_first) this->RecordGap(engine, index, applied);
  if (events.complete) {
    index.Drop(engine.id);
    this->wants_list = false;
    this->last.reset();
  }
  for (const PromptCacheEvent& event : events.events) {
    const bool is_old = this->last.has_value() && event.number <= *this->last;
    if (!events.complete && !is_old) {
      if (this->IsGap(event)) this->RecordGap(engine, index, applied);
      this->last = event.number;
    }
    const bool is_resident =
        std::find(models.begin(), models.end(), event.model) != models.end();
    if (is_old || !is_resident) {
      applied.ignored += 1;
      continue;
    }
    const PromptPartKey id_key =
        PartIdKey(event.model, event.adapter, event.part_id);
    index.RecordHeld(engine, id_key, event.tokens);
    applied.parts.push_back({id_key, event.tokens});
  }
  return applied;
}

bool PromptCacheFollower::IsGap(const PromptCacheEvent& event) const {
  return this->last.has_value() && event.number != *this->last + 1;
}

void PromptCacheFollower::BeginEpoch(const PromptCacheEvents& events,
                                     const EngineProcess& engine,
                                     PromptCacheIndex& index,
                                     Applied& applied) {
  if (this->epoch.has_value()) {
    index.Drop(engine.id);
    applied.restarted = true;
    this->ended_epoch = *this->epoch;
  }
  this->epoch = events.epoch;
  this->last.reset();
  this->wants_list = false;
}

void PromptCacheFollower::RecordGap(const EngineProcess& engine,
                                    PromptCacheIndex& index, Applied& applied) {
  index.MarkUnsure(engine);
  applied.gap = true;
  this->wants_list = true;
}

}  // namespace dragonflyglade
