#include "dragonflyglade/decision/route_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace dragonflyglade {
namespace {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  std::string lower(host);
  absl::AsciiStrToLower(&lower);
  return lower;
}

std::string RouteKey(const std::string& host, std::string_view prefix) {
  std::string key = host;
  key.append(prefix);
  return key;
}

}  // namespace

RouteTable::RouteTable(std::vector<Route> routes) : routes(std::move(routes)) {
  for (std::size_t i = 0; i < this->routes.size(); ++i) {
    const Route& route = this->routes[i];
    this->index_by_key.emplace(
        RouteKey(NormalizeHost(route.host), route.prefix), i);
    for (const WeightedService& entry : route.services) {
      absl::Duration& shortest =
          this->event_gap_objectives
              .try_emplace(entry.service, absl::InfiniteDuration())
              .first->second;
      shortest = std::min(shortest, route.event_gap_objective);
    }
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const std::string normalized_host = NormalizeHost(host);
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = this->index_by_key.find(
        RouteKey(normalized_host, path.substr(0, slash + 1)));
    if (found != this->index_by_key.end()) return &this->routes[found->second];
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
  for (const WeightedService& entry : services) total += entry.weight;
  double remaining = draw * total;
  std::string_view picked;
  for (const WeightedService& entry : services) {
    if (entry.weight <= 0) continue;
    picked = entry.service;
    remaining -= entry.weight;
    if (remaining < 0) break;
  }
  return picked;
}

}  // namespace dragonflyglade
