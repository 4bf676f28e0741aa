#ifndef DRAGONFLYGLADE_GATEWAY_PROMPT_CACHES_H_
#define DRAGONFLYGLADE_GATEWAY_PROMPT_CACHES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/types/span.h"
#include "dragonflyglade/decision/cached_part_log.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/prompt_cache_follower.h"
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
               Metrics& metrics, Clock clock);

  /// Whether target selection uses the index.
  bool IsActive() const { return this->settings.prompt_cache; }

  /// Sets the request's cacheable parts, if the index is used.
  void Prepare(RequestJob& job) const;
  /// Sets what the engine has cached of the parts, and what it would evict.
  void Describe(const TargetRecord& engine,
                absl::Span<const SharedPromptPart> parts,
                TargetCandidate& candidate) const;
  /// The engine answered that the model is not resident.
  void DropModel(std::string_view engine, std::string_view model);
  /// An engine reads prompt tokens without shared parts, or for requests of
  /// other instances.
  void RecordOtherTokens(const TargetRecord& engine, double tokens);
  /// Another instance told what an engine has cached. Ignored if this instance
  /// does not know the process, or the model is not resident there.
  void Apply(const CachedPart& part);
  /// The engine said what it has cached.
  PromptCacheFollower::Applied Apply(const PromptCacheEvents& events,
                                     const TargetRecord& engine,
                                     PromptCacheFollower& follower);
  /// What engines have read for requests of this instance, or said.
  const CachedPartLog& Changes() const { return this->changes; }
  std::size_t Parts() const { return this->index.Parts(); }

 private:
  friend class PromptRead;

  void RecordTarget(const TargetRecord& record);

  const GatewaySettings& settings;
  FleetState& fleet;
  Metrics& metrics;
  const Clock clock;
  PromptCacheIndex index;
  CachedPartLog changes;
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
