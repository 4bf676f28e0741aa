#include "dragonflyglade/decision/prompt_cache_calls.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Calls that an engine answers sooner cost it as much as a health check.
constexpr absl::Duration kCheapCallTime = absl::Milliseconds(200);
constexpr absl::Duration kCallInterval = absl::Milliseconds(250);
constexpr absl::Duration kBackoff = absl::Seconds(2);

}  // namespace

Instant NextPromptCacheCall(PromptCacheCallOutcome outcome, Instant start,
                            Instant end) {
  if (outcome != PromptCacheCallOutcome::kAnswered) return end + kBackoff;
  if (end - start >= kCheapCallTime) return end;
  return std::max(end, start + kCallInterval);
}

// Each second of the wall clock belongs to one instance.
bool PromptCacheListLimiter::MayAsk(absl::Time now, std::size_t rank,
                                    std::size_t instances) {
  const std::int64_t second = absl::ToUnixSeconds(now);
  const auto owner = static_cast<std::size_t>(second) % instances;
  if (owner != rank || this->last == second) return false;
  this->last = second;
  return true;
}

}  // namespace dragonflyglade
