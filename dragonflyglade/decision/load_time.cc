#include "dragonflyglade/decision/load_time.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Part of kFixedLoadTime that the load time is short of it; 0 for slow loads.
double ShortPart(absl::Duration load_time) {
  const double part = 1 - absl::FDivDuration(load_time, kFixedLoadTime);
  return std::clamp(part, 0.0, 1.0);
}

}  // namespace

double LoadTimeFactor(absl::Duration load_time) {
  const double short_part = ShortPart(load_time);
  return 1 - short_part * short_part * short_part;
}

// Reaches 1 at a load time of 1 s.
double TrendWeight(absl::Duration load_time) {
  constexpr double kFullWeightPart = 0.8;
  return std::min(1.0, ShortPart(load_time) / kFullWeightPart);
}

}  // namespace dragonflyglade
