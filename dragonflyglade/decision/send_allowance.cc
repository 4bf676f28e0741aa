#include "dragonflyglade/decision/send_allowance.h"

#include <algorithm>
#include <cstddef>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Requests that are older are forgotten but for the last few, since a long
// window belongs to a low rate.
constexpr absl::Duration kMaxAge = absl::Seconds(10);
constexpr std::size_t kAlwaysKept = 16;

}  // namespace

SendAllowance DivideAllowance(const SendAllowance& fleet,
                              std::string_view target, std::string_view self,
                              absl::Span<const std::string> listed) {
  SendAllowance part{0, fleet.window};
  const bool sends =
      std::find(listed.begin(), listed.end(), self) != listed.end();
  if (!sends || fleet.requests <= 0) return part;
  const auto instances = static_cast<int>(listed.size());
  part.requests = fleet.requests / instances;
  const int remainder = fleet.requests % instances;
  if (remainder > 0 && IsRendezvousOwner(target, self, listed,
                                         static_cast<std::size_t>(remainder))) {
    part.requests += 1;
  }
  return part;
}

void SendHistory::RecordSent(Instant now) {
  while (this->sent.size() >= kAlwaysKept &&
         now - this->sent.front() >= kMaxAge) {
    this->sent.pop_front();
  }
  this->sent.push_back(now);
}

absl::Duration SendHistory::UntilAllowed(const SendAllowance& allowance,
                                         Instant now) const {
  if (allowance.requests <= 0) return absl::InfiniteDuration();
  const auto requests = static_cast<std::size_t>(allowance.requests);
  if (this->sent.size() < requests) return absl::ZeroDuration();
  // The allowance is used up until this request leaves the window.
  const Instant oldest = this->sent[this->sent.size() - requests];
  return std::max(absl::ZeroDuration(), oldest + allowance.window - now);
}

}  // namespace dragonflyglade
