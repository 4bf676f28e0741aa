#include "dragonflyglade/gateway/connection_plan.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace dragonflyglade::gateway {
namespace {

// A request that is being served takes a descriptor for its caller and one for
// its target, so that callers get less than half.
constexpr std::size_t kCallersDivisor = 3;
constexpr std::size_t kDirectoryDivisor = 16;
constexpr std::size_t kOperatorDivisor = 64;
constexpr std::size_t kTunnelsDivisor = 8;
constexpr std::size_t kMaxTunnels = 512;
// A listener without any would look as if the process did not run.
constexpr std::size_t kMinOperatorConnections = 2;

}  // namespace

ConnectionPlan PlanConnections(std::size_t descriptors) {
  ConnectionPlan plan;
  plan.callers = descriptors / kCallersDivisor;
  plan.directory = descriptors / kDirectoryDivisor;
  plan.readiness =
      std::max(kMinOperatorConnections, descriptors / kOperatorDivisor);
  plan.metrics = plan.readiness;
  plan.tunnels = std::min(kMaxTunnels, descriptors / kTunnelsDivisor);
  return plan;
}

std::size_t DescriptorLimit(std::optional<std::size_t> stated) {
  constexpr std::size_t kNoLimit = std::numeric_limits<int>::max();
  rlimit limit{};
  const bool is_known =
      getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const std::size_t own = is_known ? limit.rlim_cur : kNoLimit;
  return std::min(own, stated.value_or(own));
}

}  // namespace dragonflyglade::gateway
