#include "dragonflyglade/decision/demand_tracker.h"

#include <cmath>

namespace dragonflyglade {
namespace {

constexpr double kNegligibleTokensPerSecond = 0.01;

}  // namespace

DemandTracker::DemandTracker(absl::Duration time_constant, Clock clock)
    : time_constant(time_constant), clock(clock) {}

double DemandTracker::Decayed(const Average& average, Instant now) const {
  return average.rate * std::exp(-absl::FDivDuration(now - average.updated,
                                                     this->time_constant));
}

void DemandTracker::Add(std::string_view model, double tokens) {
  absl::MutexLock lock(&this->mutex);
  const Instant now = this->clock.Now();
  const auto found = this->averages.find(model);
  Average& average = found != this->averages.end()
                         ? found->second
                         : this->averages[std::string(model)];
  average.rate = this->Decayed(average, now) +
                 tokens / absl::ToDoubleSeconds(this->time_constant);
  average.updated = now;
}

std::map<std::string, double> DemandTracker::Rates() {
  absl::MutexLock lock(&this->mutex);
  const Instant now = this->clock.Now();
  std::map<std::string, double> rates;
  for (auto it = this->averages.begin(); it != this->averages.end();) {
    const double rate = this->Decayed(it->second, now);
    if (rate < kNegligibleTokensPerSecond) {
      it = this->averages.erase(it);
      continue;
    }
    rates[it->first] = rate;
    ++it;
  }
  return rates;
}

}  // namespace dragonflyglade
