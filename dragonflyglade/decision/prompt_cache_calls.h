#ifndef DRAGONFLYGLADE_DECISION_PROMPT_CACHE_CALLS_H_
#define DRAGONFLYGLADE_DECISION_PROMPT_CACHE_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The outcome of a call that asks an engine about its prefix cache.
enum class PromptCacheCallOutcome {
  kAnswered,
  kRefused,  ///< the engine keeps enough such calls waiting
  kFailed,
};

/// When the next call to the same engine may begin: after an answer at once if
/// the engine made it wait, else 250 ms after the start; 2 s after a refusal or
/// failure.
Instant NextPromptCacheCall(PromptCacheCallOutcome outcome, Instant start,
                            Instant end);

/// Allows an instance its share of the lists of all cached parts, of which all
/// instances together ask for one a second.
class PromptCacheListLimiter {
 public:
  /// Whether the instance may ask for a list now; if so, the call counts.
  /// @param rank position among the instances, from 0
  /// @param instances number of instances that ask, above 0
  bool MayAsk(absl::Time now, std::size_t rank, std::size_t instances);

 private:
  std::optional<std::int64_t> last;  ///< second of the last list
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PROMPT_CACHE_CALLS_H_
