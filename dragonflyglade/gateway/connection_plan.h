#ifndef DRAGONFLYGLADE_GATEWAY_CONNECTION_PLAN_H_
#define DRAGONFLYGLADE_GATEWAY_CONNECTION_PLAN_H_

#include <cstddef>
#include <optional>

namespace dragonflyglade::gateway {

/// How many connections an instance accepts at each of its listeners, at most.
/// The rest of its descriptors is for connections that it opens itself, to
/// targets, to the store and to other instances.
struct ConnectionPlan {
  std::size_t callers = 0;
  std::size_t directory = 0;
  std::size_t readiness = 0;
  std::size_t metrics = 0;
  std::size_t tunnels = 0;  ///< two descriptors each
};

/// Divides the descriptors that a process may have open.
ConnectionPlan PlanConnections(std::size_t descriptors);

/// The descriptors that this process may have open.
/// @param stated what the settings say of the machine, if anything
std::size_t DescriptorLimit(std::optional<std::size_t> stated);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CONNECTION_PLAN_H_
