#include "dragonflyglade/decision/model_load_limiter.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {
namespace {

// Loads that may begin beside what the rate allows in a window.
constexpr int kBeside = 3;
// Kept back for an order of an earlier holder that is carried out late.
constexpr int kInReserve = 2;

}  // namespace

ModelLoadLimiter::ModelLoadLimiter(ModelLoadLimiterOptions options, Clock clock)
    : options(options), clock(std::move(clock)) {}

int ModelLoadLimiter::Allowed(double loads_per_second) const {
  const double window = absl::ToDoubleSeconds(this->options.window);
  const double rate = loads_per_second * window * this->options.overage;
  return static_cast<int>(rate) + kBeside - kInReserve;
}

int ModelLoadLimiter::Since(absl::Duration span) const {
  const Instant from = this->clock.Now() - span;
  return static_cast<int>(
      std::count_if(this->begun.begin(), this->begun.end(),
                    [&](Instant at) { return at >= from; }));
}

void ModelLoadLimiter::OnLeadershipAcquired(double loads_per_second) {
  // The last moment at which the holder before can have begun them.
  const Instant then = this->clock.Now() - this->options.leader_handover_delay;
  const int half = (this->Allowed(loads_per_second) + 1) / 2;
  this->begun.assign(static_cast<std::size_t>(half), then);
}

void ModelLoadLimiter::RecordLoadStart() {
  this->begun.push_back(this->clock.Now());
}

int ModelLoadLimiter::Left(double loads_per_second) {
  const Instant oldest = this->clock.Now() - this->options.window;
  while (!this->begun.empty() && this->begun.front() < oldest) {
    this->begun.pop_front();
  }
  const int allowed = this->Allowed(loads_per_second);
  const int in_window = allowed - static_cast<int>(this->begun.size());
  const absl::Duration unseen =
      this->options.window - this->options.leader_handover_delay;
  const int at_once = (allowed + 1) / 2 - this->Since(unseen);
  return std::max(0, std::min(in_window, at_once));
}

}  // namespace dragonflyglade
