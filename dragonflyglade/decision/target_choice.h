#ifndef DRAGONFLYGLADE_DECISION_TARGET_CHOICE_H_
#define DRAGONFLYGLADE_DECISION_TARGET_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace dragonflyglade {

/// Prompt tokens that an engine is expected to read in a millisecond, beside
/// the requests that it generates for.
inline constexpr double kPrefillTokensPerMs = 30;

/// What a request asks of a target.
struct TargetChoiceRequest {
  double prompt_tokens = 0;           ///< 0 for plain services
  double shared_prefix_tokens = 0;    ///< the part of the prompt others share
  std::string_view shared_prefix_id;  ///< names the shared part; empty if none
};

/// A target that could run the request, as known here and now.
struct TargetCandidate {
  std::string_view id;
  int slots = 1;
  /// Requests there, of this instance and as far as known of all others.
  double requests = 0;
  /// Prompt tokens sent there whose first output has not been seen.
  double unread_tokens = 0;
  /// Same zone: no bytes between zones.
  bool same_zone = true;
  /// The part of its last requests that failed, 0 to 1.
  double failure_rate = 0;
};

/// The candidate and the delay until the first output that is expected there.
struct TargetChoice {
  std::size_t index = 0;
  absl::Duration expected_first_output_delay;
};

/// The urgency that is asked of an engine, from 0 (first) to 9. A workspace's
/// priority goes before the route's.
int EngineRequestPriority(int route_priority,
                          std::optional<int> workspace_priority);

/// Prompt tokens that an engine is expected to read, having kept a part.
double ExpectedPrefillTokens(double prompt_tokens, double shared_prefix_tokens);

/// How long a request keeps an engine busy, in milliseconds.
/// @param shared_prefix_tokens the part of the prompt that engines mostly keep
double EngineWorkMs(double prompt_tokens, double shared_prefix_tokens,
                    double output_tokens);

/// Picks the candidate with the least expected wait for the first output.
///
/// Requests that share a part of their prompt prefer the same targets on all
/// instances without a message between them: each candidate's share of the
/// prompt counts as kept there by the rank of a stable hash. A preferred
/// target that is busy for longer than it takes to read the part anew loses
/// the request to an idle one.
/// @param jitter uniform in [0, 1); breaks ties between equal plain targets
/// @return nothing if there is no candidate
/// Complexity: linear in the candidates.
std::optional<TargetChoice> ChooseTarget(
    const TargetChoiceRequest& request,
    absl::Span<const TargetCandidate> candidates, double jitter);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_CHOICE_H_
