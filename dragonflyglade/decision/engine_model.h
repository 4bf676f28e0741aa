#ifndef DRAGONFLYGLADE_DECISION_ENGINE_MODEL_H_
#define DRAGONFLYGLADE_DECISION_ENGINE_MODEL_H_

#include "absl/time/time.h"

namespace dragonflyglade {

/// Prompt tokens that an engine is expected to prefill per millisecond while it
/// also generates output for its running requests.
inline constexpr double kPrefillTokensPerMs = 30;

/// How fast the engines of a service are.
struct EngineFigures {
  double prefill_tokens_per_ms = kPrefillTokensPerMs;
  /// Delay of a request's first output per running request. Prompts are
  /// prefilled in chunks between steps, and each running request makes the
  /// steps longer.
  double running_request_ms = 1.5;
  /// Delay per request that waits for a slot: with 64 slots and generations of
  /// some seconds, a slot becomes free about every 30 ms.
  double waiting_request_ms = 30;
  /// A step without prefill.
  double step_ms = 6;
};

/// What an engine has to do, of all instances.
struct EngineLoad {
  double requests = 0;  ///< running and waiting
  int slots = 1;        ///< requests that it runs at the same time
  double unprocessed_prompt_tokens = 0;
  /// How long work takes on its machine now; 1 is as usual.
  double slowness = 1;
  /// The prompts that it got lately; see PromptRate.
  double prompt_tokens_per_ms = 0;
  double typical_prompt_tokens = 0;

  /// Requests that it runs.
  double Running() const;
  /// Requests without a slot, if there is one more.
  double Waiting() const;
};

/// The streams whose gaps between events are judged.
struct StreamObjective {
  absl::Duration event_gap = absl::InfiniteDuration();
  int tokens_per_event = 0;  ///< 0 if not known
};

/// What a request will see at an engine.
struct EnginePrediction {
  EngineLoad load;           ///< without the request
  double prompt_tokens = 0;  ///< that the engine has to process for it
  double first_output_ms = 0;
  double longest_gap_ms = 0;   ///< between two events
  double late_gap_chance = 0;  ///< of a gap above its objective
};

/// Expected delay until the first output of a request.
/// @param prompt_tokens that the engine has to process for it
double FirstOutputMs(const EngineFigures& figures, const EngineLoad& load,
                     double prompt_tokens);

/// Predicts which streams of an engine have a gap above their objective.
///
/// An engine prefills in chunks, one in a step, and an event needs some steps.
/// So a gap is too long if all steps of an event have a chunk, which takes
/// prompts that arrive back to back. The prompts of the last seconds tell how
/// often that happens.
class GapPrediction {
 public:
  GapPrediction(const EngineFigures& figures, const EngineLoad& load,
                const StreamObjective& objective);

  /// The chance that a stream has a gap above its objective.
  /// @param output_tokens of the stream
  double LateChance(double output_tokens) const;
  /// The chance that a prompt makes a gap of the running streams too long.
  double BurstChance(double prompt_tokens) const;
  /// The longest gap between two events of a stream, typically.
  double LongestGapMs(double output_tokens) const;

 private:
  double StreamMs(double output_tokens) const;

  const EngineFigures& figures;
  const EngineLoad& load;
  const StreamObjective& objective;
  double utilisation = 0;       ///< share of the time that prefill takes
  double late_tokens = 0;       ///< that make a gap too long, back to back
  double mean_backlog = 0;      ///< prompt tokens that a new prompt meets
  double late_gaps_per_ms = 0;  ///< by the prompts of the last seconds
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_ENGINE_MODEL_H_
