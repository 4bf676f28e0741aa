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
// Weight of a stream in the moving average: about the last fifty count.
constexpr double kStreamWeight = 0.02;
// The backlog limit grows while fewer streams than the lower share are late,
// and shrinks above the upper one. A few are late for reasons of their own.
constexpr double kAcceptedLateShare = 0.02;
constexpr double kExcessiveLateShare = 0.04;
// Factors for each stream. An instance ends some tens of streams a second, so
// the limit doubles or halves within about a second.
constexpr double kGrowth = 1.04;
constexpr double kShrinkage = 0.96;
constexpr double kMaxBacklogFactor = 64;

double MaxBacklogTokens(absl::Duration event_gap_objective) {
  return kMaxPrefillShareOfGap * kPrefillTokensPerMs *
         absl::ToDoubleMilliseconds(event_gap_objective);
}

}  // namespace

PacingControl::PacingControl()
    : late_share((kAcceptedLateShare + kExcessiveLateShare) / 2) {}

void PacingControl::RecordStream(absl::Duration longest_pause,
                                 absl::Duration event_gap_objective) {
  if (event_gap_objective == absl::InfiniteDuration()) return;
  const double late = longest_pause > event_gap_objective ? 1 : 0;
  this->late_share += kStreamWeight * (late - this->late_share);
  if (this->late_share < kAcceptedLateShare) {
    this->backlog_factor *= kGrowth;
  } else if (this->late_share > kExcessiveLateShare) {
    this->backlog_factor *= kShrinkage;
  }
  this->backlog_factor =
      std::clamp(this->backlog_factor, 1.0, kMaxBacklogFactor);
}

absl::Duration PacingDelay(double backlog_tokens, double prompt_tokens,
                           absl::Duration event_gap_objective,
                           double backlog_factor) {
  if (event_gap_objective == absl::InfiniteDuration())
    return absl::ZeroDuration();
  const double max_backlog_tokens =
      backlog_factor * MaxBacklogTokens(event_gap_objective);
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
