#ifndef DRAGONFLYGLADE_TESTS_STANDINS_DISCOVERY_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_DISCOVERY_STAND_IN_H_

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/net/http_server.h"

namespace dragonflyglade {

/// The platform's service discovery, with lists of instances and targets that
/// lag behind or are unavailable when a test says so.
class DiscoveryStandIn {
 public:
  DiscoveryStandIn();
  ~DiscoveryStandIn();

  Endpoint Start();

  /// Makes changes of the lists visible only after this time.
  void SetLag(absl::Duration lag);
  /// While unavailable, every response is cut short.
  void SetUnavailable(bool unavailable);
  void PutInstance(const ListedInstance& instance);
  void RemoveInstance(const std::string& name);
  void PutTarget(const ListedTarget& target);
  void RemoveTarget(const std::string& name);

 private:
  struct Snapshot {
    absl::Time since;
    std::string instances;
    std::string targets;
  };

  void RecordSnapshot() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  const Snapshot& VisibleSnapshot() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  HttpServer server;
  absl::Mutex mutex;
  absl::Duration lag ABSL_GUARDED_BY(mutex);
  bool unavailable ABSL_GUARDED_BY(mutex) = false;
  std::int64_t version ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::string, ListedInstance> instances ABSL_GUARDED_BY(mutex);
  std::map<std::string, ListedTarget> targets ABSL_GUARDED_BY(mutex);
  std::deque<Snapshot> snapshots ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_DISCOVERY_STAND_IN_H_
