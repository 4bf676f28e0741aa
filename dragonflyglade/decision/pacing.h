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

/// Learns from the pauses of an engine service's streams how many prompt tokens
/// an engine may have before further prompts are delayed. Not synchronised.
///
/// Engines differ in how long prefill interrupts their streams, and so do the
/// objectives of their callers. Where pauses stay below the objective anyway, a
/// delay only postpones first outputs.
class PacingControl {
 public:
  PacingControl();

  /// Records a stream that has ended.
  /// @param longest_pause between two of its events
  void RecordStream(absl::Duration longest_pause,
                    absl::Duration event_gap_objective);

  /// Factor on the backlog limit of PacingDelay, at least 1.
  double BacklogFactor() const { return this->backlog_factor; }
  /// Moving average of the share of streams with a pause above the objective.
  double LateShare() const { return this->late_share; }

 private:
  double late_share;
  double backlog_factor = 1;
};

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
/// @param backlog_factor of PacingControl
/// @return zero to send the request now
absl::Duration PacingDelay(double backlog_tokens, double prompt_tokens,
                           absl::Duration event_gap_objective,
                           double backlog_factor = 1);

/// The maximum total delay of a request by pacing.
/// @param latency_objective time within which its caller expects first output
absl::Duration MaxPacingDelay(absl::Duration latency_objective);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PACING_H_
