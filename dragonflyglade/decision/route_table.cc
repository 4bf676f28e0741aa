#include "dragonflyglade/decision/route_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace dragonflyglade {
namespace {

std::string PlainHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  std::string lower(host);
  absl::AsciiStrToLower(&lower);
  return lower;
}

std::string PlaceKey(const std::string& host, std::string_view prefix) {
  std::string key = host;
  key.append(prefix);
  return key;
}

}  // namespace

RouteTable::RouteTable(std::vector<Route> routes) : routes(std::move(routes)) {
  for (std::size_t i = 0; i < this->routes.size(); ++i) {
    const Route& route = this->routes[i];
    this->by_place.emplace(PlaceKey(PlainHost(route.host), route.prefix), i);
    for (const WeightedService& item : route.services) {
      absl::Duration& shortest =
          this->event_gap_objectives
              .try_emplace(item.service, absl::InfiniteDuration())
              .first->second;
      shortest = std::min(shortest, route.event_gap_objective);
    }
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const std::string plain = PlainHost(host);
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found =
        this->by_place.find(PlaceKey(plain, path.substr(0, slash + 1)));
    if (found != this->by_place.end()) return &this->routes[found->second];
    if (slash == 0) break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

absl::Duration RouteTable::EventGapObjective(std::string_view service) const {
  const auto found = this->event_gap_objectives.find(service);
  return found == this->event_gap_objectives.end() ? absl::InfiniteDuration()
                                                   : found->second;
}

std::string_view PickService(absl::Span<const WeightedService> services,
                             double draw) {
  double total = 0;
  for (const WeightedService& item : services) total += item.weight;
  double left = draw * total;
  std::string_view last;
  for (const WeightedService& item : services) {
    if (item.weight <= 0) continue;
    last = item.service;
    left -= item.weight;
    if (left < 0) break;
  }
  return last;
}

}  // namespace dragonflyglade
