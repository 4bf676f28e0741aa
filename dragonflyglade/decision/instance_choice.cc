#include "dragonflyglade/decision/instance_choice.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Processor time for one event of a stream, all work of a gateway spread over
// its events: 3.6 core-seconds for 92,000 events on a calm day of 7 instances.
constexpr double kCoreSecondsPerEvent = 39e-6;
// An event with its framing, on the way in and on the way out.
constexpr double kBytesPerEvent = 300;
constexpr double kBytesPerMegabit = 125000;

// Callers of one instance share its connections to targets and what it knows
// of their load, so few strong instances serve them better than many weak
// ones. At half of the strongest one's capacity an instance still counts as
// strong: today's fleets of equal instances are listed whole.
constexpr double kStrongShare = 0.5;
// So that a zone whose only strong instance fails still has one nearby.
constexpr int kFewestInZone = 2;
// Demand grows tenfold within an hour. The whole fleet is sized for that, so a
// tenth of it carries ordinary days, and twice as much while some have failed.
constexpr double kLeastPartOfCapacity = 0.2;

constexpr std::string_view kOrderKey = "callers";

}  // namespace

double InstanceCapacity(double cores, double link_mbps) {
  const double by_cores = cores / kCoreSecondsPerEvent;
  const double by_link = link_mbps * kBytesPerMegabit / kBytesPerEvent;
  return std::min(by_cores, by_link);
}

std::vector<std::size_t> OrderByCapacity(
    absl::Span<const InstanceCandidate> offers, std::string_view key) {
  const std::uint64_t seed = StableHash(key);
  const auto rank = [&](std::size_t index) {
    const InstanceCandidate& offer = offers[index];
    return std::make_pair(-offer.capacity, StableHash(offer.name, seed));
  };
  std::vector<std::size_t> order(offers.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t two) {
    return rank(one) < rank(two);
  });
  return order;
}

std::vector<std::size_t> ChooseInstances(
    absl::Span<const InstanceCandidate> offers) {
  const std::vector<std::size_t> order = OrderByCapacity(offers, kOrderKey);
  if (order.empty()) return {};
  const double strong = kStrongShare * offers[order.front()].capacity;
  const double whole =
      std::accumulate(offers.begin(), offers.end(), 0.0,
                      [](double sum, const InstanceCandidate& one) {
                        return sum + one.capacity;
                      });
  std::map<std::string_view, int> in_zone;
  std::vector<std::size_t> chosen;
  std::vector<std::size_t> others;
  double capacity = 0;
  for (const std::size_t index : order) {
    const InstanceCandidate& offer = offers[index];
    if (offer.capacity < strong && in_zone[offer.zone] >= kFewestInZone) {
      others.push_back(index);
      continue;
    }
    in_zone[offer.zone] += 1;
    capacity += offer.capacity;
    chosen.push_back(index);
  }
  for (const std::size_t index : others) {
    if (capacity >= kLeastPartOfCapacity * whole) break;
    capacity += offers[index].capacity;
    chosen.push_back(index);
  }
  return chosen;
}

}  // namespace dragonflyglade
