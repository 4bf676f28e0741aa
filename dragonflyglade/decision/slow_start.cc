#include "dragonflyglade/decision/slow_start.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Share of a target's limit that its senders use. While the list of instances
// changes, some instances still go by the older list, and the senders of both
// lists add up.
constexpr double kUsedShare = 0.6;
constexpr int kMaxSenders = 8;
// A second, and the time by which a request may be delayed between the decision
// to send it and its arrival.
constexpr absl::Duration kWindow = absl::Milliseconds(1100);
// No instance sends more than this in a window.
constexpr std::size_t kMaxCounted = 32;

}  // namespace

// Failure: a target that has just started crashes, because every instance sends
// it as much as before its start. Its callers see streams that break off, and
// the target starts again, so that the crash repeats. Each instance keeping to
// its own part is enough, as the parts add up to less than the limit.
int SlowStartRequestsPerSecond(const SlowStartLimit& limit,
                               std::string_view target, std::string_view self,
                               absl::Span<const std::string> listed) {
  const double most = limit.requests_per_second * limit.overage + limit.slack;
  const int budget = std::min<int>(
      kMaxCounted, std::max(1, static_cast<int>(kUsedShare * most)));
  const int senders =
      std::min({kMaxSenders, budget, static_cast<int>(listed.size())});
  if (senders == 0) return 0;
  const bool sends =
      senders == static_cast<int>(listed.size())
          ? std::find(listed.begin(), listed.end(), self) != listed.end()
          : IsRendezvousOwner(target, self, listed,
                              static_cast<std::size_t>(senders));
  return sends ? budget / senders : 0;
}

void SlowStart::Begin(absl::Duration remaining, Instant now) {
  this->warm_at = std::max(this->warm_at, now + remaining);
}

void SlowStart::RecordSent(Instant now) {
  this->sent.push_back(now);
  if (this->sent.size() > kMaxCounted) this->sent.pop_front();
}

bool SlowStart::MaySend(int requests_per_second, Instant now) const {
  if (requests_per_second <= 0) return false;
  const auto limit = static_cast<std::size_t>(requests_per_second);
  if (this->sent.size() < limit) return true;
  return now - this->sent[this->sent.size() - limit] >= kWindow;
}

}  // namespace dragonflyglade
