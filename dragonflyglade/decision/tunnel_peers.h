#ifndef DRAGONFLYGLADE_DECISION_TUNNEL_PEERS_H_
#define DRAGONFLYGLADE_DECISION_TUNNEL_PEERS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Another instance, through which this one could reach targets.
struct TunnelPeerCandidate {
  std::string_view name;
  std::string_view zone;  ///< availability zone
};

/// Chooses the instances through which an instance without a path of its own
/// reaches targets. Spreads the tunnels over all usable instances, and keeps
/// away for a time from those that have no path either. Not synchronised.
class TunnelPeers {
 public:
  /// Records that the instance could not be reached or has no path to targets.
  void RecordFailed(std::string_view peer, Instant now);
  /// Records that the instance established a tunnel.
  void RecordConnected(std::string_view peer);

  /// Whether any of the candidates may be used.
  bool AnyUsable(absl::Span<const TunnelPeerCandidate> candidates,
                 Instant now) const;

  /// Chooses one of two random usable candidates, and of these rather one in
  /// the availability zone of this instance or of the target.
  /// @param first, second uniform in [0, 1)
  /// @return an index into the candidates; nothing if none is usable
  /// Complexity: linear in the candidates.
  std::optional<std::size_t> Choose(
      absl::Span<const TunnelPeerCandidate> candidates,
      std::string_view own_zone, std::string_view target_zone, double first,
      double second, Instant now) const;

 private:
  struct Failures {
    int in_row = 0;
    Instant avoid_until;
  };

  bool IsUsable(std::string_view peer, Instant now) const;

  std::map<std::string, Failures, std::less<>> failures;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TUNNEL_PEERS_H_
