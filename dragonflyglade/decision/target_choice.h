#ifndef DRAGONFLYGLADE_DECISION_TARGET_CHOICE_H_
#define DRAGONFLYGLADE_DECISION_TARGET_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/engine_model.h"

namespace dragonflyglade {

/// The request for which a target is chosen.
struct TargetChoiceRequest {
  double prompt_tokens = 0;         ///< 0 if the service is not an engine
  double shared_prefix_tokens = 0;  ///< prompt prefix that other requests share
  std::string_view shared_prefix_id;  ///< empty if there is no shared prefix
};

/// A target that could run the request, as this instance knows it.
struct TargetCandidate {
  std::string_view id;
  int slots = 1;  ///< requests that it runs at the same time
  /// Requests at the target, of this instance and, as far as known, of others.
  double requests = 0;
  /// Tokens of prompts sent to the target without any output so far.
  double unprocessed_prompt_tokens = 0;
  /// Tokens of the request's shared prefix that it is known to have cached.
  double cached_prefix_tokens = 0;
  /// Cached tokens of other prompts that it would evict for the rest of the
  /// prefix.
  double evicted_tokens = 0;
  /// Whether the target is in this instance's availability zone, so that no
  /// traffic crosses zones.
  bool same_zone = true;
  /// Share of the target's last requests that failed, from 0 to 1.
  double failure_rate = 0;
  // Of engines that state how fast they are; see EngineLoad.
  double slowness = 1;
  double prompt_tokens_per_ms = 0;
  double typical_prompt_tokens = 0;
  bool has_room = true;  ///< slots and memory for the request
};

/// What more is known of a request to engines that state how fast they are.
struct EngineRequest {
  std::string_view id;       ///< breaks ties, evenly over the requests
  double output_tokens = 0;  ///< expected
  absl::Duration latency_objective = absl::InfiniteDuration();
  /// Of the request's stream.
  StreamObjective stream;
  /// The strictest one of the streams that the engines run.
  StreamObjective running_streams;
};

/// The chosen candidate and the expected delay until its first output.
struct TargetChoice {
  std::size_t index = 0;  ///< into the candidates
  absl::Duration expected_first_output_delay;
  // Only of engines that state how fast they are.
  std::optional<EnginePrediction> engine;
  /// At the candidate where it is the least.
  absl::Duration least_first_output_delay;
  /// Whether a candidate has room and nothing waits there.
  bool any_idle = false;
};

/// The priority of a request at an engine, from 0 (first) to 9 (last). The
/// workspace's priority counts first, then the route's.
int EngineRequestPriority(int route_priority,
                          std::optional<int> workspace_priority);

/// Prompt tokens that an engine is expected to prefill, on average, as it has
/// part of the shared prefix in its cache.
double ExpectedPrefillTokens(double prompt_tokens, double shared_prefix_tokens);

/// Expected engine time for a request, in milliseconds.
/// @param shared_prefix_tokens prompt prefix that engines mostly have cached
double EngineWorkMs(double prompt_tokens, double shared_prefix_tokens,
                    double output_tokens);

/// Chooses the candidate with the least expected delay until the first output.
///
/// Requests with the same shared prefix prefer the same targets on all
/// instances without messages between them: of what no candidate is known to
/// have cached, a stable hash of the prefix and the target decides which share
/// counts as cached at each candidate. What a candidate would evict counts as
/// read, since some later request has to read it again.
/// If a preferred target is busy for longer than the prefill of the prefix
/// takes, an idle target is chosen.
/// @param jitter uniform in [0, 1); breaks ties between equal targets that are
///   not engines
/// @return nothing if there is no candidate
/// Complexity: linear in the candidates.
std::optional<TargetChoice> ChooseTarget(
    const TargetChoiceRequest& request,
    absl::Span<const TargetCandidate> candidates, double jitter);

/// Chooses among engines that state how fast they are.
///
/// The cost of a candidate is the request's own expected delay, the chance that
/// its stream has a gap above the objective there, and the streams that its
/// prompt makes late there. Since a prompt harms little where gaps are too long
/// already, and short prompts with long streams avoid such engines, the copies
/// of a model separate by themselves into some that prefill long prompts and
/// others that run streams.
/// @return nothing if there is no candidate
/// Complexity: linear in the candidates.
std::optional<TargetChoice> ChooseEngine(
    const TargetChoiceRequest& request, const EngineRequest& engine_request,
    const EngineFigures& figures, absl::Span<const TargetCandidate> candidates);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_CHOICE_H_
