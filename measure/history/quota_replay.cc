#include "measure/history/quota_replay.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

class ExactBucket {
 public:
  ExactBucket(const QuotaLimit& limit, absl::Duration early, Instant now)
      : limit(limit),
        lowest(-limit.rate * absl::ToDoubleSeconds(early)),
        level(limit.burst),
        updated(now) {}

  void Replay(const DecidedRequest& request, QuotaReplayResult& result) {
    this->Refill(request.at);
    const bool admits =
        BucketAdmits(this->level, this->limit.burst, request.tokens);
    if (!admits && !request.granted) return;
    const double available = std::max(0.0, this->level - this->lowest);
    const double taken =
        admits ? request.tokens : std::min(request.tokens, available);
    this->level -= taken;
    result.bucket_granted += taken;
    if (request.granted) return;
    result.wrongly_refused += taken;
    ++result.wrong_refusals;
  }

 private:
  void Refill(Instant now) {
    const double refilled =
        this->limit.rate * absl::ToDoubleSeconds(now - this->updated);
    this->level = std::min(this->limit.burst, this->level + refilled);
    this->updated = now;
  }

  QuotaLimit limit;
  double lowest;  ///< to which early grants can take the level
  double level;
  Instant updated;
};

}  // namespace

std::map<std::string, QuotaReplayResult> ReplayAgainstBuckets(
    absl::Span<const DecidedRequest> requests,
    const std::map<std::string, QuotaLimit, std::less<>>& limits,
    absl::Duration early) {
  std::map<std::string, QuotaReplayResult> results;
  std::map<std::string_view, ExactBucket> buckets;
  for (const DecidedRequest& request : requests) {
    const auto limit = limits.find(request.workspace);
    if (limit == limits.end()) continue;
    const auto bucket =
        buckets
            .try_emplace(limit->first,
                         ExactBucket(limit->second, early, request.at))
            .first;
    bucket->second.Replay(request, results[limit->first]);
  }
  return results;
}

}  // namespace dragonflyglade
