#ifndef DRAGONFLYGLADE_MEASURE_HISTORY_QUOTA_REPLAY_H_
#define DRAGONFLYGLADE_MEASURE_HISTORY_QUOTA_REPLAY_H_

#include <map>
#include <string>
#include <string_view>

#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/quota_windows.h"

namespace dragonflyglade {

/// A request of a workspace and whether the fleet granted its tokens.
struct DecidedRequest {
  Instant at;
  std::string_view workspace;
  double tokens = 0;
  bool granted = false;
};

/// A workspace's requests compared with an exact token bucket.
struct QuotaReplayResult {
  double bucket_granted = 0;   ///< tokens that the bucket grants
  double wrongly_refused = 0;  ///< tokens of these that the fleet refused
  int wrong_refusals = 0;      ///< requests that the fleet refused wrongly
};

/// Replays requests against one exact token bucket for each workspace, without
/// overage or slack. The buckets are full before the first request.
///
/// A refusal is wrong if the bucket has the tokens. The bucket grants them, so
/// that no token makes two refusals wrong. A request that the fleet granted
/// beyond what the bucket has empties it; what the fleet grants too early does
/// not excuse later refusals.
/// @param requests ordered by time
/// @param limits by workspace; requests of others are ignored
/// @param early the refill of this time may be granted ahead: an instance that
///   decides by itself grants a request as soon as its own share allows it, at
///   other moments than the bucket
std::map<std::string, QuotaReplayResult> ReplayAgainstBuckets(
    absl::Span<const DecidedRequest> requests,
    const std::map<std::string, QuotaLimit, std::less<>>& limits,
    absl::Duration early = absl::ZeroDuration());

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_HISTORY_QUOTA_REPLAY_H_
