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

/// Keeps the target book up to date: the platform's list, the engines' load
/// reports and their cache events.
class TargetPoller {
 public:
  TargetPoller(const DiscoveryClient& lists, TargetRegistry& targets,
               const CatalogHolder& catalog, TargetCallOptions options,
               absl::Duration list_period, absl::Duration report_period);
  ~TargetPoller();

  void Start();
  void Stop();

 private:
  absl::Duration ListRound();
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
