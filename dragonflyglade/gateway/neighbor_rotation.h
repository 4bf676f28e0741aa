#ifndef DRAGONFLYGLADE_GATEWAY_NEIGHBOR_ROTATION_H_
#define DRAGONFLYGLADE_GATEWAY_NEIGHBOR_ROTATION_H_

#include <cstddef>
#include <optional>
#include <string>

#include "dragonflyglade/gateway/fleet_state.h"

namespace dragonflyglade::gateway {

/// Goes through the other instances of the fleet in turn. Each instance starts
/// at another one, so that not all ask the same. Used by one event loop.
class NeighborRotation {
 public:
  /// @param self the name of this instance
  NeighborRotation(const FleetState& fleet, std::string self);

  /// The peer address of the next instance.
  /// @return nothing if no other instance is known
  std::optional<std::string> NextAddress();

 private:
  const FleetState& fleet;
  const std::string self;
  std::size_t next;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_NEIGHBOR_ROTATION_H_
