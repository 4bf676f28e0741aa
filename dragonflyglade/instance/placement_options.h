#ifndef DRAGONFLYGLADE_INSTANCE_PLACEMENT_OPTIONS_H_
#define DRAGONFLYGLADE_INSTANCE_PLACEMENT_OPTIONS_H_

#include "absl/time/time.h"
#include "dragonflyglade/decision/placement_planner.h"

namespace dragonflyglade {

/// Paces and limits of placement.
struct PlacementOptions {
  absl::Duration period = absl::Seconds(1);
  absl::Duration lease = absl::Seconds(10);
  /// Reports older than this say nothing about memory.
  absl::Duration report_limit = absl::Seconds(10);
  /// Time that an order has to take effect before it is repeated.
  absl::Duration settle = absl::Seconds(8);
  PlannerOptions plan;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_PLACEMENT_OPTIONS_H_
