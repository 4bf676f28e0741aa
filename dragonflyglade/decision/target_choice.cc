#include "dragonflyglade/decision/target_choice.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// An output token in a batch of some dozens: a step of 6 ms over the batch.
constexpr double kMsPerOutput = 0.35;
// The part of shared tokens that are read anew, on the average.
constexpr double kSharedMissed = 0.3;
// What each running request adds to the first output of the next one, by the
// step time that it adds while prompts are read in pieces between steps.
constexpr double kMsPerRunning = 1.5;
// A request that finds all slots taken waits for one to end: a generation of
// some seconds over 64 slots frees one about each 30 ms.
constexpr double kMsPerQueued = 30;
// A plain request takes tens of milliseconds in a slot.
constexpr double kMsPlainBusy = 20;
// Crossing zones costs transfer, not time: only near ties go to the own zone.
constexpr double kMsOtherZone = 2;
// A failed request costs its caller the whole objective or more, some hundred
// milliseconds; a target where two in five fail is then chosen last.
constexpr double kMsFault = 500;

// Uniform in [0, 1) for a prompt part and a target, the same everywhere.
double KeptRank(std::string_view part, std::string_view target) {
  const std::uint64_t hash = StableHash(target, StableHash(part));
  return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

double EngineWaitMs(const TargetChoiceRequest& request,
                    const TargetCandidate& candidate) {
  const double own = request.prompt_tokens - request.shared_prefix_tokens;
  const double missing =
      request.shared_prefix_id.empty()
          ? 0
          : request.shared_prefix_tokens *
                KeptRank(request.shared_prefix_id, candidate.id);
  const double queued = std::max(0.0, candidate.requests + 1 - candidate.slots);
  return (candidate.unread_tokens + own + missing) / kPrefillTokensPerMs +
         std::min<double>(candidate.requests, candidate.slots) * kMsPerRunning +
         queued * kMsPerQueued;
}

double PlainWaitMs(const TargetCandidate& candidate, double jitter) {
  const double slots = std::max(1, candidate.slots);
  return (candidate.requests + jitter * 0.5) / slots * kMsPlainBusy;
}

}  // namespace

double ExpectedPrefillTokens(double prompt_tokens,
                             double shared_prefix_tokens) {
  return prompt_tokens - shared_prefix_tokens +
         kSharedMissed * shared_prefix_tokens;
}

double EngineWorkMs(double prompt_tokens, double shared_prefix_tokens,
                    double output_tokens) {
  return ExpectedPrefillTokens(prompt_tokens, shared_prefix_tokens) /
             kPrefillTokensPerMs +
         output_tokens * kMsPerOutput;
}

int EngineRequestPriority(int route_priority,
                          std::optional<int> workspace_priority) {
  constexpr int kLevels = 3;  // of the route, within each of the workspace
  constexpr int kLast = 9;
  const int route = std::clamp(route_priority, 0, kLevels - 1);
  const int first = std::max(0, workspace_priority.value_or(0));
  return std::min(kLast, first * kLevels + route);
}

std::optional<TargetChoice> ChooseTarget(
    const TargetChoiceRequest& request,
    absl::Span<const TargetCandidate> candidates, double jitter) {
  std::optional<TargetChoice> best;
  double best_ms = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const TargetCandidate& candidate = candidates[i];
    // A different phase for each candidate, so that ties spread.
    const double phase =
        std::fmod(jitter + 0.618 * static_cast<double>(i), 1.0);
    double wait = request.prompt_tokens > 0 ? EngineWaitMs(request, candidate)
                                            : PlainWaitMs(candidate, phase);
    wait += candidate.failure_rate * kMsFault;
    wait += candidate.same_zone ? 0 : kMsOtherZone;
    if (best.has_value() && wait >= best_ms) continue;
    best_ms = wait;
    best = TargetChoice{i, absl::Milliseconds(wait)};
  }
  return best;
}

}  // namespace dragonflyglade
