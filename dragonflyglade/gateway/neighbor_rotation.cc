#include "dragonflyglade/gateway/neighbor_rotation.h"

#include <functional>
#include <iterator>
#include <utility>

namespace dragonflyglade::gateway {

NeighborRotation::NeighborRotation(const FleetState& fleet, std::string self)
    : fleet(fleet),
      self(std::move(self)),
      next(std::hash<std::string>()(this->self)) {}

std::optional<std::string> NeighborRotation::NextAddress() {
  const auto& instances = this->fleet.Instances();
  for (std::size_t i = 0; i < instances.size(); ++i) {
    this->next += 1;
    const auto neighbor =
        std::next(instances.begin(),
                  static_cast<std::ptrdiff_t>(this->next % instances.size()));
    if (neighbor->second.name != this->self) {
      return neighbor->second.peer_address;
    }
  }
  return std::nullopt;
}

}  // namespace dragonflyglade::gateway
