#include "dragonflyglade/decision/target_choice.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Engine time per output token: a step takes 6 ms and produces a token for each
// of the dozens of requests in the batch.
constexpr double kOutputTokenMs = 0.35;
// Share of a shared prefix that is not cached at the engine, on average.
constexpr double kUncachedPrefixShare = 0.3;
// Delay of a request's first output per running request. Prompts are prefilled
// in chunks between steps, and each running request makes the steps longer.
constexpr double kRunningRequestMs = 1.5;
// Delay per request that waits for a slot: with 64 slots and generations of
// some seconds, a slot becomes free about every 30 ms.
constexpr double kWaitingRequestMs = 30;
// A request at a target that is not an engine uses a slot for some tens of
// milliseconds.
constexpr double kPlainRequestMs = 20;
// Traffic between zones has a cost but hardly adds delay, so this only decides
// between nearly equal targets.
constexpr double kOtherZoneMs = 2;
// A failed request costs its caller the latency objective or more, some hundred
// milliseconds. A target at which two of five requests fail is chosen last.
constexpr double kFailureMs = 500;

// A number for a prompt prefix and a target, uniform in [0, 1) and the same on
// all instances.
double UncachedShare(std::string_view prefix_id, std::string_view target) {
  const std::uint64_t hash = StableHash(target, StableHash(prefix_id));
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

double EngineWaitMs(const TargetChoiceRequest& request,
                    const TargetCandidate& candidate) {
  const double own_tokens =
      request.prompt_tokens - request.shared_prefix_tokens;
  const double uncached_tokens =
      request.shared_prefix_id.empty()
          ? 0
          : request.shared_prefix_tokens *
                UncachedShare(request.shared_prefix_id, candidate.id);
  const double waiting_requests =
      std::max(0.0, candidate.requests + 1 - candidate.slots);
  return (candidate.unprocessed_prompt_tokens + own_tokens + uncached_tokens) /
             kPrefillTokensPerMs +
         std::min<double>(candidate.requests, candidate.slots) *
             kRunningRequestMs +
         waiting_requests * kWaitingRequestMs;
}

double PlainWaitMs(const TargetCandidate& candidate, double jitter) {
  const double slots = std::max(1, candidate.slots);
  return (candidate.requests + jitter * 0.5) / slots * kPlainRequestMs;
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
  std::optional<TargetChoice> best;
  double best_ms = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const TargetCandidate& candidate = candidates[i];
    // A different phase for each candidate (golden ratio), so that ties are
    // broken evenly.
    const double phase =
        std::fmod(jitter + 0.618 * static_cast<double>(i), 1.0);
    double wait_ms = request.prompt_tokens > 0
                         ? EngineWaitMs(request, candidate)
                         : PlainWaitMs(candidate, phase);
    wait_ms += candidate.failure_rate * kFailureMs;
    wait_ms += candidate.same_zone ? 0 : kOtherZoneMs;
    if (best.has_value() && wait_ms >= best_ms) continue;
    best_ms = wait_ms;
    best = TargetChoice{i, absl::Milliseconds(wait_ms)};
  }
  return best;
}

}  // namespace dragonflyglade
