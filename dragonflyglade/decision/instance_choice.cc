#include "dragonflyglade/decision/instance_choice.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// All processor time of an instance per stream event that it forwards: 7
// instances under normal load took 3.6 core-seconds for 92,000 events.
constexpr double kCoreSecondsPerEvent = 39e-6;
// A stream event with its framing, received from a target and sent to a caller.
constexpr double kBytesPerEvent = 300;
constexpr double kBytesPerMegabit = 125000;

// Callers of one instance share its connections to targets and its knowledge of
// their load, so a few large instances serve them better than many small ones.
// An instance with half of the largest capacity still counts as large, so a
// fleet of similar instances is chosen whole.
constexpr double kMinRelativeCapacity = 0.5;
// A zone whose only large instance fails still has an instance in the zone.
constexpr int kMinInstancesPerZone = 2;
// Demand can grow tenfold within an hour, and the fleet is sized for that. So a
// tenth of its capacity serves normal load; twice as much allows for failures.
constexpr double kMinTotalCapacityShare = 0.2;

constexpr std::string_view kOrderKey = "callers";

}  // namespace

double InstanceCapacity(double cores, double link_mbps) {
  const double by_cores = cores / kCoreSecondsPerEvent;
  const double by_link = link_mbps * kBytesPerMegabit / kBytesPerEvent;
  return std::min(by_cores, by_link);
}

std::vector<std::size_t> OrderByCapacity(
    absl::Span<const InstanceCandidate> candidates, std::string_view key) {
  const std::uint64_t seed = StableHash(key);
  const auto rank = [&](std::size_t index) {
    const InstanceCandidate& candidate = candidates[index];
    return std::make_pair(-candidate.capacity,
                          StableHash(candidate.name, seed));
  };
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t two) {
    return rank(one) < rank(two);
  });
  return order;
}

std::vector<std::size_t> ChooseInstances(
    absl::Span<const InstanceCandidate> candidates) {
  const std::vector<std::size_t> order = OrderByCapacity(candidates, kOrderKey);
  if (order.empty()) return {};
  const double min_capacity =
      kMinRelativeCapacity * candidates[order.front()].capacity;
  const double total_capacity =
      std::accumulate(candidates.begin(), candidates.end(), 0.0,
                      [](double sum, const InstanceCandidate& one) {
                        return sum + one.capacity;
                      });
  std::map<std::string_view, int> chosen_in_zone;
  std::vector<std::size_t> chosen;
  std::vector<std::size_t> others;
  double capacity = 0;
  for (const std::size_t index : order) {
    const InstanceCandidate& candidate = candidates[index];
    if (candidate.capacity < min_capacity &&
        chosen_in_zone[candidate.zone] >= kMinInstancesPerZone) {
      others.push_back(index);
      continue;
    }
    chosen_in_zone[candidate.zone] += 1;
    capacity += candidate.capacity;
    chosen.push_back(index);
  }
  for (const std::size_t index : others) {
    if (capacity >= kMinTotalCapacityShare * total_capacity) break;
    capacity += candidates[index].capacity;
    chosen.push_back(index);
  }
  return chosen;
}

}  // namespace dragonflyglade
