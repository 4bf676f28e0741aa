#include "dragonflyglade/decision/slow_start.h"

#include <algorithm>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Share of a target's limit that its senders use. While the list of instances
// changes, some instances still go by the older list, and the senders of both
// lists add up.
constexpr double kUsedShare = 0.6;
// A second, and the time by which a request may be delayed between the decision
// to send it and its arrival.
constexpr absl::Duration kWindow = absl::Milliseconds(1100);
// Above this the limit does not bind: a target takes less when it is warm.
constexpr double kMaxBudget = 1e6;

}  // namespace

// Failure: a target that has just started crashes, because every instance sends
// it as much as before its start. Its callers see streams that break off, and
// the target starts again, so that the crash repeats. Each instance keeping to
// its own part is enough, as the parts add up to less than the limit.
int SlowStartRequestsPerSecond(const SlowStartLimit& limit,
                               std::string_view target, std::string_view self,
                               absl::Span<const std::string> listed) {
  const double most = limit.requests_per_second * limit.overage + limit.slack;
  const int budget =
      static_cast<int>(std::clamp(kUsedShare * most, 1.0, kMaxBudget));
  const int senders = std::min(budget, static_cast<int>(listed.size()));
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
  while (!this->sent.empty() && now - this->sent.front() >= kWindow) {
    this->sent.pop_front();
  }
  this->sent.push_back(now);
}

bool SlowStart::MaySend(int requests_per_second, Instant now) const {
  if (requests_per_second <= 0) return false;
  const auto limit = static_cast<std::size_t>(requests_per_second);
  if (this->sent.size() < limit) return true;
  return now - this->sent[this->sent.size() - limit] >= kWindow;
}

}  // namespace dragonflyglade
