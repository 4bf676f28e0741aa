#ifndef DRAGONFLYGLADE_DECISION_LOAD_TIME_H_
#define DRAGONFLYGLADE_DECISION_LOAD_TIME_H_

#include "absl/time/time.h"

namespace dragonflyglade {

/// Load time, from the weight store, from which on the planner's thresholds
/// apply unchanged.
inline constexpr absl::Duration kFixedLoadTime = absl::Seconds(5);

/// Factor on thresholds for a model that loads in the given time: 1 from
/// kFixedLoadTime on, and little below 1 from 3 s on. A copy that loads faster
/// costs less if it is not needed in the end.
double LoadTimeFactor(absl::Duration load_time);

/// Weight, 0 to 1, of a change of demand against its average: 0 from
/// kFixedLoadTime on.
double TrendWeight(absl::Duration load_time);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_LOAD_TIME_H_
