#ifndef DRAGONFLYGLADE_DECISION_ROUTE_TABLE_H_
#define DRAGONFLYGLADE_DECISION_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

namespace dragonflyglade {

/// How often a request of a route may run.
enum class Repeatability {
  kIdempotent,  ///< any number of times
  kOnce,        ///< once at most
  kStream,      ///< once at most, unless the route is resumable
};

/// A service and its part of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Where the requests below a path prefix of a host go.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< begins and ends with a slash
  Repeatability repeatability = Repeatability::kOnce;
  absl::Duration timeout = absl::Seconds(10);  ///< of a whole request
  absl::Duration latency_objective = absl::Seconds(1);
  /// The longest pause between events with which a stream is in time.
  absl::Duration event_gap_objective = absl::InfiniteDuration();
  int priority = 0;  ///< 0 is the most urgent
  std::vector<WeightedService> services;
  int max_targets = 1;  ///< that one request may be sent to
  bool open = false;    ///< needs no key
  bool resumable = false;

  /// Whether a request may run again after it may have run.
  bool MayReexecute() const {
    return this->repeatability == Repeatability::kIdempotent;
  }
};

/// The routes of one configuration, found by host and longest prefix.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::vector<Route> routes);

  /// The route of a request, or null.
  /// @param host as in the Host field; case and port do not matter
  /// @param path without query
  /// Complexity: linear in the slashes of the path.
  const Route* Find(std::string_view host, std::string_view path) const;

  absl::Span<const Route> Routes() const { return this->routes; }

  /// The shortest pause objective of the routes that lead to a service:
  /// engines run streams of all of them beside one another.
  absl::Duration EventGapObjective(std::string_view service) const;

 private:
  std::vector<Route> routes;
  absl::flat_hash_map<std::string, std::size_t> by_place;
  std::map<std::string, absl::Duration, std::less<>> event_gap_objectives;
};

/// Picks one of the weighted services.
/// @param draw uniform in [0, 1)
/// @return the service; empty if there is none with a weight above 0
std::string_view PickService(absl::Span<const WeightedService> services,
                             double draw);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_ROUTE_TABLE_H_
