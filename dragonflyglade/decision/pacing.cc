#include "dragonflyglade/decision/pacing.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Share of the gap between two stream events that prefill may take at once. The
// rest is left for generating the event itself, for the prompts that the pace
// lets through meanwhile, and for the network.
constexpr double kMaxPrefillShareOfGap = 0.4;
// A delay postpones the first output, which must still meet its objective.
constexpr double kMaxDelayShare = 0.25;

}  // namespace

absl::Duration PacingDelay(double backlog_tokens, double prompt_tokens,
                           absl::Duration event_gap_objective) {
  if (event_gap_objective == absl::InfiniteDuration())
    return absl::ZeroDuration();
  const double max_backlog_tokens =
      kMaxPrefillShareOfGap * kPrefillTokensPerMs *
      absl::ToDoubleMilliseconds(event_gap_objective);
  // A prompt that alone exceeds the limit is sent when no other one is waiting.
  const double excess_tokens =
      backlog_tokens - std::max(0.0, max_backlog_tokens - prompt_tokens);
  return absl::Milliseconds(std::max(0.0, excess_tokens) /
                            kPacedPrefillTokensPerMs);
}

absl::Duration MaxPacingDelay(absl::Duration latency_objective) {
  return kMaxDelayShare * latency_objective;
}

}  // namespace dragonflyglade
