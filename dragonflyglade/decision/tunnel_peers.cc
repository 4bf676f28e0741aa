#include "dragonflyglade/decision/tunnel_peers.h"

#include <algorithm>
#include <vector>

namespace dragonflyglade {
namespace {

// Doubles with each failure in a row.
constexpr absl::Duration kInitialBackoff = absl::Milliseconds(500);
constexpr int kMaxBackoffDoublings = 2;

std::size_t IndexAt(double position, std::size_t count) {
  const auto index =
      static_cast<std::size_t>(position * static_cast<double>(count));
  return std::min(index, count - 1);
}

}  // namespace

void TunnelPeers::RecordFailed(std::string_view peer, Instant now) {
  Failures& known = this->failures[std::string(peer)];
  const int doublings = std::min(known.in_row, kMaxBackoffDoublings);
  known.avoid_until = now + kInitialBackoff * (1 << doublings);
  known.in_row += 1;
}

void TunnelPeers::RecordConnected(std::string_view peer) {
  const auto known = this->failures.find(peer);
  if (known != this->failures.end()) this->failures.erase(known);
}

bool TunnelPeers::IsUsable(std::string_view peer, Instant now) const {
  const auto known = this->failures.find(peer);
  return known == this->failures.end() || now >= known->second.avoid_until;
}

bool TunnelPeers::AnyUsable(absl::Span<const TunnelPeerCandidate> candidates,
                            Instant now) const {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const TunnelPeerCandidate& candidate) {
                       return this->IsUsable(candidate.name, now);
                     });
}

std::optional<std::size_t> TunnelPeers::Choose(
    absl::Span<const TunnelPeerCandidate> candidates, std::string_view own_zone,
    std::string_view target_zone, double first, double second,
    Instant now) const {
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (this->IsUsable(candidates[i].name, now)) usable.push_back(i);
  }
  if (usable.empty()) return std::nullopt;
  const std::size_t one = usable[IndexAt(first, usable.size())];
  const std::size_t other = usable[IndexAt(second, usable.size())];
  const auto is_near = [&](std::size_t index) {
    const std::string_view zone = candidates[index].zone;
    return zone == own_zone || zone == target_zone;
  };
  return is_near(other) && !is_near(one) ? other : one;
}

}  // namespace dragonflyglade
