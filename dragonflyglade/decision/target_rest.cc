#include "dragonflyglade/decision/target_rest.h"

#include <algorithm>

namespace dragonflyglade {
namespace {

// Longer than targets rest; a rest without end could never be shortened.
constexpr absl::Duration kMaxRest = absl::Hours(24);
// After a rest an instance may use its whole share of the slots again.
constexpr absl::Duration kRampTime = absl::Seconds(2);

}  // namespace

bool TargetRest::Record(absl::Duration time, Instant at) {
  const Instant newer = at + std::min(time, kMaxRest);
  if (time <= absl::ZeroDuration() || newer <= this->end) return false;
  this->end = newer;
  return true;
}

absl::Duration TargetRest::Remaining(Instant now) const {
  return std::max(absl::ZeroDuration(), this->end - now);
}

std::optional<int> TargetRest::MaxInFlight(double share, Instant now) const {
  if (this->IsResting(now)) return 0;
  const absl::Duration since = now - this->end;
  if (since >= kRampTime) return std::nullopt;
  const double part = absl::FDivDuration(since, kRampTime);
  return 1 + static_cast<int>(part * share);
}

}  // namespace dragonflyglade
