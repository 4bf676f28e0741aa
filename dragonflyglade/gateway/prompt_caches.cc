#include "dragonflyglade/gateway/prompt_caches.h"

#include <utility>

namespace dragonflyglade::gateway {

PromptCaches::PromptCaches(const GatewaySettings& settings, FleetState& fleet,
                           Metrics& metrics)
    : settings(settings), metrics(metrics) {
  fleet.OnTargetRecord(
      [this](const TargetRecord& record) { this->RecordTarget(record); });
}

void PromptCaches::RecordSlownessStated(std::string_view service) {
  if (this->stating_services.count(service) == 0) {
    this->stating_services.emplace(service);
  }
}

bool PromptCaches::IsActive(std::string_view service) const {
  return this->settings.prompt_cache.value_or(
      this->stating_services.count(service) > 0);
}

void PromptCaches::Prepare(RequestJob& job) const {
  job.cacheable_parts.clear();
  if (!job.NeedsModel() || !this->IsActive(job.service->name)) return;
  const ModelUse& use = job.request.use;
  PromptPartKeys keys(use.model, use.adapter);
  for (const PromptPart& part : job.SharedParts()) {
    job.cacheable_parts.push_back({keys.Append(part.id), part.tokens});
  }
}

double PromptCaches::CachedTokens(
    const TargetRecord& engine,
    absl::Span<const SharedPromptPart> parts) const {
  if (parts.empty()) return 0;
  return this->index.CachedTokens({engine.id, engine.born_ms}, parts);
}

void PromptCaches::DropModel(std::string_view engine, std::string_view model) {
  this->index.DropModel(engine, model);
}

void PromptCaches::RecordOtherTokens(const TargetRecord& engine,
                                     double tokens) {
  this->index.RecordOtherTokens({engine.id, engine.born_ms}, tokens);
}

void PromptCaches::RecordTarget(const TargetRecord& record) {
  std::vector<std::string_view> models;
  models.reserve(record.models.size());
  for (const ResidentModel& model : record.models) models.push_back(model.name);
  this->index.KeepModels({record.id, record.born_ms}, models);
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
}

}  // namespace dragonflyglade::gateway
