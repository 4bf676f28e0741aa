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

/// What an instance's status is put together from.
struct StatusSources {
  const Membership& membership;
  const RecordStore& records;
  const ConfigFreshness& freshness;
  const TargetRegistry& targets;
  const DistributedRateLimiter& shares;
  const CatalogHolder& catalog;
  const Metrics& metrics;
  bool is_relay = false;
  std::size_t waiting = 0;
};

/// An instance's status as JSON. It holds no secrets.
nlohmann::json InstanceStatus(const StatusSources& sources);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_INSTANCE_STATUS_H_
