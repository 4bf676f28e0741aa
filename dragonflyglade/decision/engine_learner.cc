#include "dragonflyglade/decision/engine_learner.h"

#include <algorithm>
#include <cmath>

namespace dragonflyglade {
namespace {

// Each figure stays within this factor of its start.
constexpr double kMaxFactor = 10;
// Weight of an answer: about the last fifty count, some seconds of an instance.
constexpr double kAnswerWeight = 0.02;
// An error by a larger factor counts like this one, so that the figures follow
// the median rather than a few answers that were late for other reasons.
constexpr double kMaxErrorFactor = 1.5;
// Shorter delays are those of the network and of a step.
constexpr double kMinPredictionMs = 20;
// Before anything is learnt. It only rises slowly, so that few requests are
// refused by a prediction that is too long.
constexpr double kInitialLowerBound = 0.2;
constexpr double kMinLowerBound = 0.1;
// Share of the first outputs that are earlier than the lower bound.
constexpr double kLowerShare = 0.1;

double Correct(double figure, double start, double log_factor) {
  return std::clamp(figure * std::exp(log_factor), start / kMaxFactor,
                    start * kMaxFactor);
}

// The logarithm of outcome over prediction, limited.
double LogError(double outcome_ms, double predicted_ms) {
  const double limit = std::log(kMaxErrorFactor);
  return std::clamp(std::log(std::max(1.0, outcome_ms) / predicted_ms), -limit,
                    limit);
}

}  // namespace

EngineLearner::EngineLearner() : lower_bound(kInitialLowerBound) {}

// Each figure is corrected by its share of the prediction, so that idle engines
// tell of the prefill rate, and full ones of the time per request.
void EngineLearner::RecordFirstOutput(const EnginePrediction& prediction,
                                      absl::Duration delay) {
  const double predicted_ms = prediction.first_output_ms;
  if (predicted_ms < kMinPredictionMs) return;
  const double outcome_ms = absl::ToDoubleMilliseconds(delay);
  const EngineLoad& load = prediction.load;
  const double error = kAnswerWeight * LogError(outcome_ms, predicted_ms);
  const double running_ms =
      load.Running() * this->figures.running_request_ms * load.slowness;
  const double waiting_ms =
      load.Waiting() * this->figures.waiting_request_ms * load.slowness;
  const double prefill_ms =
      std::max(0.0, predicted_ms - running_ms - waiting_ms);
  const EngineFigures start;
  EngineFigures& learnt = this->figures;
  learnt.prefill_tokens_per_ms =
      Correct(learnt.prefill_tokens_per_ms, start.prefill_tokens_per_ms,
              -error * prefill_ms / predicted_ms);
  learnt.running_request_ms =
      Correct(learnt.running_request_ms, start.running_request_ms,
              error * std::min(1.0, running_ms / predicted_ms));
  learnt.waiting_request_ms =
      Correct(learnt.waiting_request_ms, start.waiting_request_ms,
              error * std::min(1.0, waiting_ms / predicted_ms));
  const bool below = outcome_ms < this->lower_bound * predicted_ms;
  const double change = kAnswerWeight * (below ? kLowerShare - 1 : kLowerShare);
  this->lower_bound =
      std::clamp(this->lower_bound * std::exp(change), kMinLowerBound, 1.0);
}

// The time of steps without prefill shows in streams that met hardly any.
void EngineLearner::RecordLongestGap(const EnginePrediction& prediction,
                                     const StreamObjective& objective,
                                     absl::Duration gap) {
  const double predicted_ms = prediction.longest_gap_ms;
  if (predicted_ms <= 0 || gap <= absl::ZeroDuration()) return;
  const double steps_ms = std::max(1, objective.tokens_per_event) *
                          this->figures.step_ms * prediction.load.slowness;
  const double error =
      kAnswerWeight * LogError(absl::ToDoubleMilliseconds(gap), predicted_ms);
  this->figures.step_ms =
      Correct(this->figures.step_ms, EngineFigures().step_ms,
              error * std::min(1.0, steps_ms / predicted_ms));
}

}  // namespace dragonflyglade
