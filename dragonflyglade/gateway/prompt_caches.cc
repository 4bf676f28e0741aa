#include "dragonflyglade/gateway/prompt_caches.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

std::vector<std::string_view> ModelNames(const TargetRecord& record) {
  std::vector<std::string_view> names;
  names.reserve(record.models.size());
  for (const ResidentModel& model : record.models) names.push_back(model.name);
  return names;
}

}  // namespace

PromptCaches::PromptCaches(const GatewaySettings& settings, FleetState& fleet,
                           Metrics& metrics, Clock clock)
    : settings(settings),
      fleet(fleet),
      metrics(metrics),
      clock(std::move(clock)) {
  fleet.OnTargetRecord(
      [this](const TargetRecord& record) { this->RecordTarget(record); });
}

void PromptCaches::Prepare(RequestJob& job) const {
  job.cacheable_parts.clear();
  if (!job.NeedsModel() || !this->IsActive()) return;
  const ModelUse& use = job.request.use;
  PromptPartKeys keys(use.model, use.adapter);
  for (const PromptPart& part : job.SharedParts()) {
    job.cacheable_parts.push_back(keys.Append(part.id, part.tokens));
  }
}

void PromptCaches::Describe(const TargetRecord& engine,
                            absl::Span<const SharedPromptPart> parts,
                            TargetCandidate& candidate) const {
  if (parts.empty()) return;
  const EngineProcess process{engine.id, engine.born_ms};
  candidate.cached_prefix_tokens = this->index.CachedTokens(process, parts);
  candidate.evicted_tokens = this->index.EvictedTokens(process, parts);
}

void PromptCaches::DropModel(std::string_view engine, std::string_view model) {
  this->index.DropModel(engine, model);
}

void PromptCaches::RecordOtherTokens(const TargetRecord& engine,
                                     double tokens) {
  this->index.RecordOtherTokens({engine.id, engine.born_ms}, tokens);
}

void PromptCaches::Apply(const CachedPart& part) {
  if (!this->IsActive()) return;
  const std::shared_ptr<TargetState> target = this->fleet.Target(part.engine);
  if (target == nullptr || target->Record().born_ms != part.born_ms) return;
  const std::vector<ResidentModel>& models = target->Record().models;
  const bool is_resident = std::any_of(
      models.begin(), models.end(),
      [&](const auto& model) { return IsPartOfModel(part.key, model.name); });
  if (!is_resident) return;
  const EngineProcess process{part.engine, part.born_ms};
  if (part.dropped) {
    this->index.RecordHeld(process, part.key, 0);
  } else {
    this->index.AddRead(process, part.key);
  }
}

PromptCacheFollower::Applied PromptCaches::Apply(
    const PromptCacheEvents& events, const TargetRecord& engine,
    PromptCacheFollower& follower) {
  const EngineProcess process{engine.id, engine.born_ms};
  PromptCacheFollower::Applied applied =
      follower.Apply(events, process, ModelNames(engine), this->index);
  const Instant now = this->clock.Now();
  for (const HeldPart& part : applied.parts) {
    this->changes.Add(
        {engine.id, engine.born_ms, part.id_key, part.tokens <= 0}, "", now);
  }
  return applied;
}

void PromptCaches::RecordTarget(const TargetRecord& record) {
  this->index.KeepModels({record.id, record.born_ms}, ModelNames(record));
}

PromptRead::PromptRead(PromptCaches& caches, const RequestJob& job,
                       const TargetRecord& engine)
    : caches(caches),
      parts(job.cacheable_parts),
      engine(engine.id),
      born_ms(engine.born_ms) {
  if (this->parts.empty()) {
    this->caches.RecordOtherTokens(engine, job.UnreadTokens());
    return;
  }
  const auto& limits = job.service->engine;
  this->caches.index.RecordSent(
      {this->engine, this->born_ms}, this->parts, job.UnreadTokens(),
      limits.has_value() ? limits->kv_capacity_tokens : std::nullopt);
  this->caches.metrics.Count("shared_prompt_tokens", "", job.SharedTokens());
  this->caches.metrics.Count("shared_prompt_tokens_cached", "",
                             job.cached_tokens.value_or(0));
}

void PromptRead::Finish(bool read) {
  if (std::exchange(this->finished, true) || this->parts.empty()) return;
  this->caches.index.RecordRead({this->engine, this->born_ms}, this->parts,
                                read);
  if (!read) return;
  const Instant now = this->caches.clock.Now();
  for (const SharedPromptPart& part : this->parts) {
    this->caches.changes.Add({this->engine, this->born_ms, part.key}, "", now);
  }
}

}  // namespace dragonflyglade::gateway
