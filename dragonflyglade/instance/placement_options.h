#ifndef DRAGONFLYGLADE_INSTANCE_PLACEMENT_OPTIONS_H_
#define DRAGONFLYGLADE_INSTANCE_PLACEMENT_OPTIONS_H_

#include "absl/time/time.h"
#include "dragonflyglade/decision/placement_planner.h"

namespace dragonflyglade {

/// Intervals and limits of placement.
struct PlacementOptions {
  absl::Duration period = absl::Seconds(1);
  /// Lease of the placement role for one pool.
  absl::Duration lease = absl::Seconds(10);
  /// Reports older than this are not used to determine resident models.
  absl::Duration max_report_age = absl::Seconds(10);
  /// Time for an order to take effect before it may be repeated.
  absl::Duration settle_time = absl::Seconds(8);
  PlannerOptions plan;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_INSTANCE_PLACEMENT_OPTIONS_H_
