#ifndef DRAGONFLYGLADE_STORE_DISCOVERY_CLIENT_H_
#define DRAGONFLYGLADE_STORE_DISCOVERY_CLIENT_H_

#include <set>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/store/discovery_codec.h"

namespace dragonflyglade {

/// Client of the platform's service discovery, which lists the instances and
/// targets that are live or leaving.
///
/// Both lists are JSON over HTTP: {"version": N, "instances": [...]} and
/// {"version": N, "targets": [...]}, where the version only grows.
/// Entries that cannot be used are left out, and logged once. Thread-safe.
/// Errors: kUnavailable, kMalformedResponse.
class DiscoveryClient {
 public:
  DiscoveryClient(Endpoint endpoint, absl::Duration timeout);

  Result<InstanceList> FetchInstances() const;
  Result<DiscoveredTargets> FetchTargets() const;

 private:
  Result<std::string> Get(const std::string& path) const;
  void LogLeftOut(const std::set<std::string>& now,
                  std::set<std::string>& logged) const;

  const Endpoint endpoint;
  const absl::Duration timeout;
  mutable absl::Mutex mutex;
  mutable std::set<std::string> logged_instances ABSL_GUARDED_BY(mutex);
  mutable std::set<std::string> logged_targets ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_DISCOVERY_CLIENT_H_
