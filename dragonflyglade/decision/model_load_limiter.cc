#include "dragonflyglade/decision/model_load_limiter.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {
namespace {

// Loads that may begin in a window in addition to what the rate allows.
constexpr int kExtraLoads = 3;
// Loads kept in reserve for orders of an earlier leader that engines carry out
// late.
constexpr int kReservedLoads = 2;

}  // namespace

ModelLoadLimiter::ModelLoadLimiter(ModelLoadLimiterOptions options, Clock clock)
    : options(options), clock(std::move(clock)) {}

int ModelLoadLimiter::AllowedPerWindow(double loads_per_second) const {
  const double window = absl::ToDoubleSeconds(this->options.window);
  const double by_rate = loads_per_second * window * this->options.overage;
  return static_cast<int>(by_rate) + kExtraLoads - kReservedLoads;
}

int ModelLoadLimiter::CountSince(absl::Duration span) const {
  const Instant from = this->clock.Now() - span;
  return static_cast<int>(
      std::count_if(this->begun.begin(), this->begun.end(),
                    [&](Instant at) { return at >= from; }));
}

void ModelLoadLimiter::OnLeadershipAcquired(double loads_per_second) {
  // The latest time at which the previous leader can have begun loads.
  const Instant latest =
      this->clock.Now() - this->options.leader_handover_delay;
  const int half = (this->AllowedPerWindow(loads_per_second) + 1) / 2;
  this->begun.assign(static_cast<std::size_t>(half), latest);
}

void ModelLoadLimiter::RecordLoadStart() {
  this->begun.push_back(this->clock.Now());
}

int ModelLoadLimiter::RemainingLoads(double loads_per_second) {
  const Instant oldest = this->clock.Now() - this->options.window;
  while (!this->begun.empty() && this->begun.front() < oldest) {
    this->begun.pop_front();
  }
  const int allowed = this->AllowedPerWindow(loads_per_second);
  const int left_in_window = allowed - static_cast<int>(this->begun.size());
  const absl::Duration remainder =
      this->options.window - this->options.leader_handover_delay;
  const int left_in_remainder = (allowed + 1) / 2 - this->CountSince(remainder);
  return std::max(0, std::min(left_in_window, left_in_remainder));
}

}  // namespace dragonflyglade
