#include "measure/model/scheduled_events.h"

#include <utility>

namespace dragonflyglade {

void RunEvents(ScheduledEvents& events, ManualClock& clock, Instant end) {
  while (!events.empty() && events.begin()->first < end) {
    const auto next = events.begin();
    const std::function<void()> action = std::move(next->second);
    clock.Advance(next->first - clock.Now());
    events.erase(next);
    action();
  }
}

}  // namespace dragonflyglade
