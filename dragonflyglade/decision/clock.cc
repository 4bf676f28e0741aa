#include "dragonflyglade/decision/clock.h"

#include <chrono>

namespace dragonflyglade {

Instant SteadyClock::Now() const {
  return absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

Instant ManualClock::Now() const {
  absl::MutexLock lock(&this->mutex);
  return this->now;
}

void ManualClock::Advance(absl::Duration step) {
  absl::MutexLock lock(&this->mutex);
  this->now += step;
}

Clock::Clock(std::variant<SteadyClock, const ManualClock*> source)
    : source(source) {}

Instant Clock::Now() const {
  struct ReadNow {
    Instant operator()(const SteadyClock& steady) const { return steady.Now(); }
    Instant operator()(const ManualClock* manual) const {
      return manual->Now();
    }
  };
  return std::visit(ReadNow{}, this->source);
}

}  // namespace dragonflyglade
