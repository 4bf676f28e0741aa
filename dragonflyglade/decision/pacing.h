#ifndef DRAGONFLYGLADE_DECISION_PACING_H_
#define DRAGONFLYGLADE_DECISION_PACING_H_

#include "absl/time/time.h"
#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade {

/// The part of an engine's time in which prompts are read while they are
/// paced. What is left is for the streams that run there.
inline constexpr double kPacedPrefillShare = 0.5;
/// Prompt tokens that are sent to an engine in a millisecond while paced.
inline constexpr double kPacedPrefillTokensPerMs =
    kPacedPrefillShare * kPrefillTokensPerMs;

/// How long to hold a request back before it is sent to an engine.
///
/// An engine reads what came last before its running streams go on, so some
/// prompts that come together make all its streams pause for longer than their
/// callers bear, though each prompt alone would not. Held back for some ten
/// milliseconds, they are read in turn with the streams.
/// @param waiting tokens sent there that the pace has not let through yet
/// @param own tokens that the request adds
/// @param event_gap_objective the shortest of the streams that run there
/// @return zero: send now
absl::Duration PacingDelay(double waiting, double own,
                           absl::Duration event_gap_objective);

/// How long a request may be held back in all, out of the time in which its
/// caller wants the first output.
absl::Duration MaxPacingDelay(absl::Duration latency_objective);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PACING_H_
