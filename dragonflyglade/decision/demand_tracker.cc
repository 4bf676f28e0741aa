#include "dragonflyglade/decision/demand_tracker.h"

#include <cmath>

namespace dragonflyglade {
namespace {

constexpr double kForgottenRate = 0.01;

}  // namespace

DemandTracker::DemandTracker(absl::Duration memory, Clock clock)
    : memory(memory), clock(clock) {}

double DemandTracker::Faded(const Average& average, Instant now) const {
  return average.rate *
         std::exp(-absl::FDivDuration(now - average.at, this->memory));
}

void DemandTracker::Add(std::string_view model, double tokens) {
  absl::MutexLock lock(&this->mutex);
  const Instant now = this->clock.Now();
  const auto found = this->averages.find(model);
  Average& average = found != this->averages.end()
                         ? found->second
                         : this->averages[std::string(model)];
  average.rate =
      this->Faded(average, now) + tokens / absl::ToDoubleSeconds(this->memory);
  average.at = now;
}

std::map<std::string, double> DemandTracker::Rates() {
  absl::MutexLock lock(&this->mutex);
  const Instant now = this->clock.Now();
  std::map<std::string, double> rates;
  for (auto it = this->averages.begin(); it != this->averages.end();) {
    const double rate = this->Faded(it->second, now);
    if (rate < kForgottenRate) {
      it = this->averages.erase(it);
      continue;
    }
    rates[it->first] = rate;
    ++it;
  }
  return rates;
}

}  // namespace dragonflyglade
