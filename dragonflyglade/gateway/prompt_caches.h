#ifndef DRAGONFLYGLADE_GATEWAY_PROMPT_CACHES_H_
#define DRAGONFLYGLADE_GATEWAY_PROMPT_CACHES_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/prompt_cache_index.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/request_job.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// What this instance knows of the prefix caches of engines. Used by one event
/// loop.
class PromptCaches {
 public:
  PromptCaches(const GatewaySettings& settings, FleetState& fleet,
               Metrics& metrics);

  /// A target of the service has stated how fast it is, which enables the index
  /// for the service unless the setting decides.
  void RecordSlownessStated(std::string_view service);
  /// Whether the index is used for the service.
  bool IsActive(std::string_view service) const;

  /// Sets the request's cacheable parts, if the index is used for its service.
  void Prepare(RequestJob& job) const;
  /// Tokens of the leading parts that the engine is known to have cached.
  double CachedTokens(const TargetRecord& engine,
                      absl::Span<const SharedPromptPart> parts) const;
  /// The engine answered that the model is not resident.
  void DropModel(std::string_view engine, std::string_view model);
  /// An engine reads prompt tokens without shared parts, or for requests of
  /// other instances.
  void RecordOtherTokens(const TargetRecord& engine, double tokens);
  std::size_t Parts() const { return this->index.Parts(); }

 private:
  friend class PromptRead;

  void RecordTarget(const TargetRecord& record);

  const GatewaySettings& settings;
  Metrics& metrics;
  PromptCacheIndex index;
  /// Services whose targets state how fast they are.
  std::set<std::string, std::less<>> stating_services;
};

/// The prefill of a request's prompt at an engine, during its lifetime.
class PromptRead {
 public:
  PromptRead(PromptCaches& caches, const RequestJob& job,
             const TargetRecord& engine);
  ~PromptRead() { this->Finish(false); }
  PromptRead(const PromptRead&) = delete;
  PromptRead& operator=(const PromptRead&) = delete;

  /// Records the end of the prefill; has an effect once.
  /// @param read whether the engine has read the prompt
  void Finish(bool read);

 private:
  PromptCaches& caches;
  const std::vector<SharedPromptPart> parts;
  const std::string engine;
  const std::int64_t born_ms;
  bool finished = false;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PROMPT_CACHES_H_
