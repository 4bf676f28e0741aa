#ifndef DRAGONFLYGLADE_MEASURE_MODEL_SCHEDULED_EVENTS_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_SCHEDULED_EVENTS_H_

#include <functional>
#include <map>

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The events of a simulation by the time at which they happen.
using ScheduledEvents = std::multimap<Instant, std::function<void()>>;

/// Runs all events before the end in the order of their times, and advances the
/// clock to each. An event may schedule others.
void RunEvents(ScheduledEvents& events, ManualClock& clock, Instant end);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_SCHEDULED_EVENTS_H_
