#ifndef DRAGONFLYGLADE_TARGET_TARGET_POLLER_H_
#define DRAGONFLYGLADE_TARGET_TARGET_POLLER_H_

#include <map>
#include <string>

#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/store/discovery_client.h"
#include "dragonflyglade/target/engine_client.h"

namespace dragonflyglade {

/// Keeps the target book up to date by polling the platform's list of targets
/// and the load reports and cache events of engines.
class TargetPoller {
 public:
  TargetPoller(const DiscoveryClient& lists, TargetRegistry& targets,
               const CatalogHolder& catalog, TargetCallOptions options,
               absl::Duration list_period, absl::Duration report_period);
  ~TargetPoller();

  void Start();
  void Stop();

 private:
  absl::Duration PollTargetList();
  absl::Duration PollLoadReports();
  void PollEngine(const ListedTarget& target);
  void PollCacheEvents(const EngineClient& engine, const ListedTarget& target);

  const DiscoveryClient& lists;
  TargetRegistry& targets;
  const CatalogHolder& catalog;
  const TargetCallOptions options;
  const absl::Duration list_period;
  const absl::Duration report_period;
  absl::Mutex mutex;
  std::map<std::string, std::int64_t> cache_sequence ABSL_GUARDED_BY(mutex);
  PeriodicWorker list_worker;
  PeriodicWorker report_worker;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TARGET_TARGET_POLLER_H_
