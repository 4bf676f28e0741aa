#include "dragonflyglade/decision/pacing.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// The part of a pause that reading may take at once. The rest is for the
// output of the event itself, for what the pace lets in meanwhile, and for the
// network.
constexpr double kReadAtOnce = 0.4;
// Holding back moves the first output, which must stay in time.
constexpr double kHeldAtMost = 0.25;

}  // namespace

absl::Duration PacingDelay(double waiting, double own,
                           absl::Duration event_gap_objective) {
  if (event_gap_objective == absl::InfiniteDuration())
    return absl::ZeroDuration();
  const double at_once = kReadAtOnce * kPrefillTokensPerMs *
                         absl::ToDoubleMilliseconds(event_gap_objective);
  // A prompt that is larger than that goes when nothing else is read.
  const double too_many = waiting - std::max(0.0, at_once - own);
  return absl::Milliseconds(std::max(0.0, too_many) / kPacedPrefillTokensPerMs);
}

absl::Duration MaxPacingDelay(absl::Duration latency_objective) {
  return kHeldAtMost * latency_objective;
}

}  // namespace dragonflyglade
