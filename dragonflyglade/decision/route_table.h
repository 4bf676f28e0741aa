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

/// How often a request of a route may be executed.
enum class Repeatability {
  kIdempotent,  ///< any number of times
  kOnce,        ///< at most once
  kStream,      ///< at most once, unless the route is resumable
};

/// A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Maps requests with a host and a path prefix to services.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< begins and ends with a slash
  Repeatability repeatability = Repeatability::kOnce;
  absl::Duration timeout = absl::Seconds(10);           ///< of a whole request
  absl::Duration latency_objective = absl::Seconds(1);  ///< to the first output
  /// The longest gap between two events of a stream that is still in time.
  absl::Duration event_gap_objective = absl::InfiniteDuration();
  int priority = 0;  ///< 0 is the most urgent
  std::vector<WeightedService> services;
  int max_targets = 1;     ///< targets that one request may be sent to
  bool is_public = false;  ///< whether callers need no API key
  bool resumable = false;  ///< whether broken streams may be resumed

  /// Whether a request that may have been executed may be executed again.
  bool MayReexecute() const {
    return this->repeatability == Repeatability::kIdempotent;
  }
};

/// The routes of one configuration, matched by host and longest path prefix.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::vector<Route> routes);

  /// The route of a request, or null.
  /// @param host value of the Host header field; case and port are ignored
  /// @param path without the query
  /// Complexity: linear in the number of slashes in the path.
  const Route* Find(std::string_view host, std::string_view path) const;

  absl::Span<const Route> Routes() const { return this->routes; }

  /// The shortest event_gap_objective of the routes to a service, because an
  /// engine runs streams of all these routes at the same time. Infinite if no
  /// route has one.
  absl::Duration EventGapObjective(std::string_view service) const;

 private:
  std::vector<Route> routes;
  absl::flat_hash_map<std::string, std::size_t> index_by_key;
  std::map<std::string, absl::Duration, std::less<>> event_gap_objectives;
};

/// Picks a service with a probability in proportion to its weight.
/// @param draw random number, uniform in [0, 1)
/// @return the service, or empty if none has a weight above 0
std::string_view PickService(absl::Span<const WeightedService> services,
                             double draw);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_ROUTE_TABLE_H_
