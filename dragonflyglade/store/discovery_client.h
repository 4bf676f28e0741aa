#ifndef DRAGONFLYGLADE_STORE_DISCOVERY_CLIENT_H_
#define DRAGONFLYGLADE_STORE_DISCOVERY_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// A version of the platform's list of targets.
struct DiscoveredTargets {
  std::int64_t version = 0;
  std::vector<ListedTarget> targets;
};

/// Client of the platform's service discovery, which lists the instances and
/// targets that are live or leaving.
///
/// Both lists are JSON over HTTP: {"version": N, "instances": [...]} and
/// {"version": N, "targets": [...]}, where the version only grows.
/// Errors: kUnavailable, kMalformedResponse.
class DiscoveryClient {
 public:
  DiscoveryClient(Endpoint endpoint, absl::Duration timeout);

  Result<InstanceList> FetchInstances() const;
  Result<DiscoveredTargets> FetchTargets() const;

 private:
  Result<std::string> Get(const std::string& path) const;

  const Endpoint endpoint;
  const absl::Duration timeout;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_DISCOVERY_CLIENT_H_
