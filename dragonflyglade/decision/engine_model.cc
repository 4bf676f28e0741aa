#include "dragonflyglade/decision/engine_model.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dragonflyglade {
namespace {

// Prompt tokens that an engine prefills in one step.
constexpr double kChunkTokens = 2000;
// The backlog of an engine whose prompts use all of its time grows without a
// bound; the formula for the mean holds below.
constexpr double kMaxUtilisation = 0.95;

double LateTokens(const EngineFigures& figures, const EngineLoad& load,
                  const StreamObjective& objective) {
  if (objective.event_gap == absl::InfiniteDuration()) {
    return std::numeric_limits<double>::infinity();
  }
  const double within_gap = absl::ToDoubleMilliseconds(objective.event_gap) *
                            figures.prefill_tokens_per_ms / load.slowness;
  if (objective.tokens_per_event <= 0) return within_gap;
  return std::min(within_gap, objective.tokens_per_event * kChunkTokens);
}

}  // namespace

double EngineLoad::Running() const {
  return std::min<double>(this->requests, this->slots);
}

double EngineLoad::Waiting() const {
  return std::max(0.0, this->requests + 1 - this->slots);
}

double FirstOutputMs(const EngineFigures& figures, const EngineLoad& load,
                     double prompt_tokens) {
  const double usual_ms = (load.unprocessed_prompt_tokens + prompt_tokens) /
                              figures.prefill_tokens_per_ms +
                          load.Running() * figures.running_request_ms +
                          load.Waiting() * figures.waiting_request_ms;
  return usual_ms * load.slowness;
}

GapPrediction::GapPrediction(const EngineFigures& figures,
                             const EngineLoad& load,
                             const StreamObjective& objective)
    : figures(figures),
      load(load),
      objective(objective),
      utilisation(
          std::min(kMaxUtilisation, load.prompt_tokens_per_ms * load.slowness /
                                        figures.prefill_tokens_per_ms)),
      late_tokens(LateTokens(figures, load, objective)),
      // Mean wait of a queue with random arrivals (Pollaczek and Khinchine).
      mean_backlog(this->utilisation * load.typical_prompt_tokens /
                   (2 * (1 - this->utilisation))) {
  if (load.typical_prompt_tokens <= 0) return;
  this->late_gaps_per_ms = load.prompt_tokens_per_ms /
                           load.typical_prompt_tokens *
                           this->BurstChance(load.typical_prompt_tokens);
}

// What a prompt meets is taken as exponentially distributed.
double GapPrediction::BurstChance(double prompt_tokens) const {
  const double missing_tokens = this->late_tokens - prompt_tokens;
  if (missing_tokens <= 0) return 1;
  if (this->mean_backlog <= 0) return 0;
  return std::exp(-missing_tokens / this->mean_backlog);
}

double GapPrediction::StreamMs(double output_tokens) const {
  return output_tokens * this->figures.step_ms * this->load.slowness /
         (1 - this->utilisation);
}

double GapPrediction::LateChance(double output_tokens) const {
  if (output_tokens <= this->objective.tokens_per_event) return 0;
  return 1 - std::exp(-this->late_gaps_per_ms * this->StreamMs(output_tokens));
}

double GapPrediction::LongestGapMs(double output_tokens) const {
  const double step_tokens = std::max(1, this->objective.tokens_per_event);
  const double step_ms = this->figures.step_ms * this->load.slowness;
  if (this->load.typical_prompt_tokens <= 0) return step_tokens * step_ms;
  const double prompts = this->load.prompt_tokens_per_ms /
                         this->load.typical_prompt_tokens *
                         this->StreamMs(output_tokens);
  // The largest of several exponentially distributed backlogs.
  const double burst_tokens =
      std::min(1.0, prompts) *
      (this->load.typical_prompt_tokens +
       this->mean_backlog * std::log(std::max(1.0, prompts)));
  const double prefilled_tokens =
      std::min(burst_tokens, step_tokens * kChunkTokens);
  return step_tokens * step_ms + prefilled_tokens * this->load.slowness /
                                     this->figures.prefill_tokens_per_ms;
}

}  // namespace dragonflyglade
