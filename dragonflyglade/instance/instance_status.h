#ifndef DRAGONFLYGLADE_INSTANCE_INSTANCE_STATUS_H_
#define DRAGONFLYGLADE_INSTANCE_INSTANCE_STATUS_H_

#include <nlohmann/json.hpp>

#include "dragonflyglade/decision/config_freshness.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/decision/target_registry.h"
#include "dragonflyglade/operator/catalog.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade {

/// The components and values from which an instance's status is built.
struct StatusSources {
  const Membership& membership;
  const RecordStore& records;
  const ConfigFreshness& freshness;
  const TargetRegistry& targets;
  const DistributedRateLimiter& rate_limiter;
  const CatalogHolder& catalog;
  const Metrics& metrics;
  bool is_relay = false;
  std::size_t waiting_requests = 0;
};

/// Builds an instance's status as JSON. The status contains no secrets.
nlohmann::json InstanceStatus(const StatusSources& sources);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_INSTANCE_STATUS_H_
