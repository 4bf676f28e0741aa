// The methods of Pipeline for engines that state how fast they are.
#include <algorithm>
#include <string>
#include <utility>

#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/request_job.h"

namespace dragonflyglade::gateway {
namespace {

// Callers that are refused return within this many times the predicted delay.
constexpr double kReturnSpread = 1.5;

std::string PredictedBand(absl::Duration predicted) {
  if (predicted < absl::Milliseconds(100)) return "predicted=\"under 0.1 s\"";
  if (predicted < absl::Milliseconds(300)) return "predicted=\"under 0.3 s\"";
  if (predicted < absl::Seconds(1)) return "predicted=\"under 1 s\"";
  return "predicted=\"1 s and more\"";
}

}  // namespace

bool Pipeline::IsSpeedAware(std::string_view service) {
  if (!this->settings.engine_model) return false;
  if (this->speed_aware_services.count(service) > 0) return true;
  const auto targets = this->fleet.Targets(service);
  const bool any_states =
      std::any_of(targets.begin(), targets.end(),
                  [](const auto& target) { return target->StatesSlowness(); });
  if (any_states) this->speed_aware_services.emplace(service);
  return any_states;
}

EngineRequest Pipeline::EngineRequestOf(const RequestJob& job) const {
  const int stride = job.service->engine.has_value()
                         ? job.service->engine->stride.value_or(0)
                         : 0;
  EngineRequest request;
  request.id = job.request.id;
  request.output_tokens = job.request.use.ExpectedOutputTokens();
  request.latency_objective = job.route->latency_objective;
  request.stream = {job.route->event_gap_objective, stride};
  request.running_streams = {
      job.config->routes.EventGapObjective(job.service->name), stride};
  return request;
}

std::optional<TargetChoice> Pipeline::ChooseTargetFor(
    const RequestJob& job, absl::Span<const TargetCandidate> candidates) {
  TargetChoiceRequest request;
  request.prompt_tokens = job.request.use.prompt_tokens;
  request.shared_prefix_tokens = job.SharedTokens();
  request.shared_prefix_id = job.SharedId();
  if (job.NeedsModel() && this->IsSpeedAware(job.service->name)) {
    return ChooseEngine(request, this->EngineRequestOf(job),
                        this->engine_learners[job.service->name].Figures(),
                        candidates);
  }
  return ChooseTarget(request, candidates,
                      absl::Uniform<double>(this->random, 0, 1));
}

// An answer after several attempts says little of the last target.
void Pipeline::RecordEngineOutcome(const RequestJob& job) {
  if (!job.prediction.has_value() || job.attempts != 1) return;
  if (!job.attempt_first_output.has_value()) return;
  const EnginePrediction& prediction = *job.prediction;
  const absl::Duration first = job.FirstOutputAtTarget();
  const absl::Duration predicted =
      absl::Milliseconds(prediction.first_output_ms);
  this->metrics.Observe("first_output_error_seconds", PredictedBand(predicted),
                        absl::ToDoubleSeconds(first - predicted));
  EngineLearner& learner = this->engine_learners[job.service->name];
  learner.RecordFirstOutput(prediction, first);
  if (job.longest_pause <= absl::ZeroDuration()) return;
  learner.RecordLongestGap(prediction, this->EngineRequestOf(job).stream,
                           job.longest_pause);
  const absl::Duration objective = job.route->event_gap_objective;
  if (objective == absl::InfiniteDuration()) return;
  this->pacing_trials[job.service->name].RecordStream(
      job.target, job.longest_pause > objective);
}

std::optional<Refusal> Pipeline::CheckSize(const RequestJob& job) {
  const std::optional<EngineLimits>& engine = job.service->engine;
  if (!engine.has_value() || !engine->kv_capacity_tokens.has_value()) {
    return std::nullopt;
  }
  // The output is not known in advance and may be preempted, so that only the
  // prompt shows that the request never fits.
  const double tokens = job.request.use.prompt_tokens;
  if (tokens <= *engine->kv_capacity_tokens) return std::nullopt;
  if (!this->IsSpeedAware(job.service->name)) return std::nullopt;
  return MakeRefusal(RefusalCode::kRequestTooLargeForEngines,
                     "the prompt needs more memory than an engine has",
                     kRetryAfterTooLarge);
}

// What a target may have executed is not refused as not executed.
std::optional<Refusal> Pipeline::CheckEngines(const RequestJob& job) {
  if (!job.prediction.has_value() || job.executions > 0) return std::nullopt;
  const absl::Duration least = job.least_first_output_delay;
  if (least <= absl::ZeroDuration()) return std::nullopt;
  const EngineLearner& learner = this->engine_learners[job.service->name];
  const Instant now = this->clock.Now();
  if (now + learner.LowerBound() * least <= job.deadline) return std::nullopt;
  const double spread = absl::Uniform<double>(this->random, 1, kReturnSpread);
  return MakeRefusal(RefusalCode::kEnginesOverloaded,
                     "no engine can begin before the deadline", spread * least);
}

bool Pipeline::MayPace(const RequestJob& job, const TargetState& target) {
  if (!this->IsSpeedAware(job.service->name)) return true;
  return this->pacing_trials[job.service->name].Delays(target.Record().id);
}

}  // namespace dragonflyglade::gateway
