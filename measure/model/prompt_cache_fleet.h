#ifndef DRAGONFLYGLADE_MEASURE_MODEL_PROMPT_CACHE_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_PROMPT_CACHE_FLEET_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace dragonflyglade {

/// Instances that choose among engines with prefix caches.
struct PromptCacheFleetOptions {
  bool uses_index = true;    ///< else nothing is known of the engines' caches
  double lost_messages = 0;  ///< share of the reports and summaries, 0 to 1
  /// When an engine is killed, whose successor starts at once.
  std::optional<absl::Duration> engine_killed_at;
  /// When an instance is restarted, which then knows nothing.
  std::optional<absl::Duration> instance_restarted_at;
  absl::Duration time = absl::Seconds(60);  ///< of requests
  std::uint32_t seed = 1;
};

/// Prompt tokens that the engines read.
struct PromptCacheFleetResult {
  double read_tokens = 0;
  /// Of shared parts that an engine had read before.
  double reread_tokens = 0;
  double requests = 0;
  absl::Duration total_delay;  ///< of the requests, until the prompt is read

  double RereadShare() const { return this->reread_tokens / this->read_tokens; }
};

/// Runs the decisions of instances on a virtual clock, without a network: each
/// chooses engines by its own index, and they tell each other by reports and
/// summaries which parts engines have read.
PromptCacheFleetResult RunPromptCacheFleet(
    const PromptCacheFleetOptions& options);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_PROMPT_CACHE_FLEET_H_
