#ifndef DRAGONFLYGLADE_DECISION_PACING_H_
#define DRAGONFLYGLADE_DECISION_PACING_H_

#include "absl/time/time.h"
#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade {

/// Share of an engine's time that paced prompts use for prefill. The rest is
/// left for the output of running streams.
inline constexpr double kPacedPrefillShare = 0.5;
/// Prompt tokens that pacing sends to an engine per millisecond.
inline constexpr double kPacedPrefillTokensPerMs =
    kPacedPrefillShare * kPrefillTokensPerMs;

/// How long to delay a request before it is sent to an engine.
///
/// An engine prefills new prompts before it continues its running streams. So
/// several prompts that arrive together interrupt all its streams for longer
/// than their objective allows, though each prompt alone would not. With delays
/// of some ten milliseconds, prefill alternates with the output of the streams.
/// @param backlog_tokens prompt tokens sent to the engine, less those that the
///   pace has let through since
/// @param prompt_tokens prompt tokens that the request adds
/// @param event_gap_objective the shortest objective of the engine's streams
/// @return zero to send the request now
absl::Duration PacingDelay(double backlog_tokens, double prompt_tokens,
                           absl::Duration event_gap_objective);

/// The maximum total delay of a request by pacing.
/// @param latency_objective time within which its caller expects first output
absl::Duration MaxPacingDelay(absl::Duration latency_objective);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PACING_H_
