#include "dragonflyglade/decision/target_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Engine time per output token: a step takes 6 ms and produces a token for each
// of the dozens of requests in the batch.
constexpr double kOutputTokenMs = 0.35;
// Share of a shared prefix that is not cached at the engine, on average.
constexpr double kUncachedPrefixShare = 0.3;
// A request at a target that is not an engine uses a slot for some tens of
// milliseconds.
constexpr double kPlainRequestMs = 20;
// Traffic between zones has a cost but hardly adds delay, so this only decides
// between nearly equal targets.
constexpr double kOtherZoneMs = 2;
// A failed request costs its caller the latency objective or more, some hundred
// milliseconds. A target at which two of five requests fail is chosen last.
constexpr double kFailureMs = 500;

// What a late answer costs, in milliseconds of delay. It serves its caller
// hardly better than a failed one.
constexpr double kLateMs = kFailureMs;
// What a delay of the whole latency objective costs, in late answers; the cost
// is quadratic. Beyond the objective it exceeds what a long prompt costs the
// dozen streams of an engine that is kept free of them.
constexpr double kObjectiveDelayWeight = 8;
// Remaining output of a running stream, on average.
constexpr double kRunningStreamTokens = 100;
// Candidates whose costs differ by less are equal: instances know each other's
// requests of some milliseconds ago only.
constexpr double kTieMs = 5;
// An engine without room is chosen only if all are without.
constexpr double kNoRoomMs = 1e6;

// A number for a key and a target, uniform in [0, 1) and the same on all
// instances.
double StableShare(std::string_view key, std::string_view target) {
  const std::uint64_t hash = StableHash(target, StableHash(key));
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

// Tokens of the request's shared prefix that the candidate has cached.
double CachedTokens(const TargetChoiceRequest& request,
                    const TargetCandidate& candidate) {
  return std::min(candidate.cached_prefix_tokens, request.shared_prefix_tokens);
}

// The highest number of tokens of the prefix that a candidate has cached.
double MostCachedTokens(const TargetChoiceRequest& request,
                        absl::Span<const TargetCandidate> candidates) {
  double most = 0;
  for (const TargetCandidate& candidate : candidates) {
    most = std::max(most, CachedTokens(request, candidate));
  }
  return most;
}

// Prompt tokens of the request that the engine does not have in its cache.
// @param most_cached see MostCachedTokens
double UncachedTokens(const TargetChoiceRequest& request,
                      const TargetCandidate& candidate, double most_cached) {
  const double own_tokens =
      request.prompt_tokens - request.shared_prefix_tokens;
  if (request.shared_prefix_id.empty()) return own_tokens;
  const double cached_elsewhere =
      most_cached - CachedTokens(request, candidate);
  const double cached_nowhere = request.shared_prefix_tokens - most_cached;
  return own_tokens + cached_elsewhere +
         cached_nowhere * StableShare(request.shared_prefix_id, candidate.id);
}

// What the choice of the candidate costs later requests, in prompt tokens. A
// part that is cached twice has evicted another one, so that requests go to the
// same copy while it is not much busier than the others.
// @param most_cached see MostCachedTokens
double CacheCostTokens(const TargetChoiceRequest& request,
                       const TargetCandidate& candidate, double most_cached) {
  if (most_cached <= 0) return candidate.evicted_tokens;
  const bool has_most = CachedTokens(request, candidate) >= most_cached;
  const double share =
      has_most ? StableShare(request.shared_prefix_id, candidate.id) : 1;
  return candidate.evicted_tokens + share * request.shared_prefix_tokens;
}

EngineLoad LoadOf(const TargetCandidate& candidate) {
  EngineLoad load;
  load.requests = candidate.requests;
  load.slots = candidate.slots;
  load.unprocessed_prompt_tokens = candidate.unprocessed_prompt_tokens;
  load.slowness = candidate.slowness;
  load.prompt_tokens_per_ms = candidate.prompt_tokens_per_ms;
  load.typical_prompt_tokens = candidate.typical_prompt_tokens;
  return load;
}

double EngineWaitMs(const TargetChoiceRequest& request,
                    const TargetCandidate& candidate, double most_cached) {
  return FirstOutputMs(EngineFigures(), LoadOf(candidate),
                       UncachedTokens(request, candidate, most_cached));
}

// The cost of a delay that may exceed the latency objective.
double DelayCostMs(double delay_ms, absl::Duration objective) {
  if (objective == absl::InfiniteDuration()) return delay_ms;
  const double ratio =
      delay_ms / std::max(1.0, absl::ToDoubleMilliseconds(objective));
  return delay_ms + kLateMs * kObjectiveDelayWeight * ratio * ratio;
}

double PlainWaitMs(const TargetCandidate& candidate, double jitter) {
  const double slots = std::max(1, candidate.slots);
  return (candidate.requests + jitter * 0.5) / slots * kPlainRequestMs;
}

EnginePrediction Predict(const TargetCandidate& candidate,
                         const TargetChoiceRequest& request,
                         const EngineRequest& engine_request,
                         const EngineFigures& figures, double most_cached) {
  EnginePrediction prediction;
  prediction.load = LoadOf(candidate);
  prediction.prompt_tokens = UncachedTokens(request, candidate, most_cached);
  prediction.first_output_ms =
      FirstOutputMs(figures, prediction.load, prediction.prompt_tokens);
  const GapPrediction gaps(figures, prediction.load, engine_request.stream);
  prediction.longest_gap_ms = gaps.LongestGapMs(engine_request.output_tokens);
  prediction.late_gap_chance = gaps.LateChance(engine_request.output_tokens);
  return prediction;
}

bool IsIdle(const TargetCandidate& candidate) {
  return candidate.has_room && candidate.requests < candidate.slots &&
         candidate.unprocessed_prompt_tokens < 1;
}

// The running streams of which a gap becomes too long by the request's prompt.
double NewlyLateStreams(const EnginePrediction& prediction,
                        const EngineFigures& figures,
                        const StreamObjective& objective) {
  const EngineLoad& load = prediction.load;
  const GapPrediction gaps(figures, load, objective);
  const double burst_tokens =
      load.unprocessed_prompt_tokens + prediction.prompt_tokens;
  return load.Running() * gaps.BurstChance(burst_tokens) *
         (1 - gaps.LateChance(kRunningStreamTokens));
}

double CostMs(const EnginePrediction& prediction,
              const TargetCandidate& candidate,
              const EngineRequest& engine_request, const EngineFigures& figures,
              double cache_cost_tokens) {
  const double late_streams =
      prediction.late_gap_chance +
      NewlyLateStreams(prediction, figures, engine_request.running_streams);
  return DelayCostMs(prediction.first_output_ms,
                     engine_request.latency_objective) +
         cache_cost_tokens / figures.prefill_tokens_per_ms +
         kLateMs * late_streams + candidate.failure_rate * kFailureMs +
         (candidate.same_zone ? 0 : kOtherZoneMs) +
         (candidate.has_room ? 0 : kNoRoomMs) +
         kTieMs * StableShare(engine_request.id, candidate.id);
}

}  // namespace

double ExpectedPrefillTokens(double prompt_tokens,
                             double shared_prefix_tokens) {
  return prompt_tokens - shared_prefix_tokens +
         kUncachedPrefixShare * shared_prefix_tokens;
}

double EngineWorkMs(double prompt_tokens, double shared_prefix_tokens,
                    double output_tokens) {
  return ExpectedPrefillTokens(prompt_tokens, shared_prefix_tokens) /
             kPrefillTokensPerMs +
         output_tokens * kOutputTokenMs;
}

int EngineRequestPriority(int route_priority,
                          std::optional<int> workspace_priority) {
  constexpr int kRoutePriorities = 3;  // levels per workspace priority
  constexpr int kLastPriority = 9;
  const int route = std::clamp(route_priority, 0, kRoutePriorities - 1);
  const int workspace = std::max(0, workspace_priority.value_or(0));
  return std::min(kLastPriority, workspace * kRoutePriorities + route);
}

std::optional<TargetChoice> ChooseTarget(
    const TargetChoiceRequest& request,
    absl::Span<const TargetCandidate> candidates, double jitter) {
  const double most_cached = MostCachedTokens(request, candidates);
  std::optional<TargetChoice> best;
  double best_ms = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const TargetCandidate& candidate = candidates[i];
    // A different phase for each candidate (golden ratio), so that ties are
    // broken evenly.
    const double phase =
        std::fmod(jitter + 0.618 * static_cast<double>(i), 1.0);
    double wait_ms = request.prompt_tokens > 0
                         ? EngineWaitMs(request, candidate, most_cached)
                         : PlainWaitMs(candidate, phase);
    wait_ms += candidate.failure_rate * kFailureMs;
    wait_ms += candidate.same_zone ? 0 : kOtherZoneMs;
    const double cost_ms =
        wait_ms +
        CacheCostTokens(request, candidate, most_cached) / kPrefillTokensPerMs;
    if (best.has_value() && cost_ms >= best_ms) continue;
    best_ms = cost_ms;
    best.emplace();
    best->index = i;
    best->expected_first_output_delay = absl::Milliseconds(wait_ms);
  }
  return best;
}

std::optional<TargetChoice> ChooseEngine(
    const TargetChoiceRequest& request, const EngineRequest& engine_request,
    const EngineFigures& figures,
    absl::Span<const TargetCandidate> candidates) {
  const double most_cached = MostCachedTokens(request, candidates);
  std::optional<TargetChoice> best;
  double best_ms = 0;
  double least_ms = std::numeric_limits<double>::infinity();
  bool any_idle = false;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const EnginePrediction prediction =
        Predict(candidates[i], request, engine_request, figures, most_cached);
    const double cost_ms =
        CostMs(prediction, candidates[i], engine_request, figures,
               CacheCostTokens(request, candidates[i], most_cached));
    least_ms = std::min(least_ms, prediction.first_output_ms);
    any_idle = any_idle || IsIdle(candidates[i]);
    if (best.has_value() && cost_ms >= best_ms) continue;
    best_ms = cost_ms;
    best.emplace();
    best->index = i;
    best->expected_first_output_delay =
        absl::Milliseconds(prediction.first_output_ms);
    best->engine = prediction;
  }
  if (best.has_value()) {
    best->least_first_output_delay = absl::Milliseconds(least_ms);
    best->any_idle = any_idle;
  }
  return best;
}

}  // namespace dragonflyglade
