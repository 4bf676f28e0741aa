#include "dragonflyglade/decision/refused_callers.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {
namespace {

// Callers of a workspace that asks for many times its rate would be told to
// wait for longer than most of them wait at all.
constexpr absl::Duration kMaxReturnTime = absl::Seconds(2);
// Callers retry after 1 to 1.5 times the wait.
constexpr double kSpread = 0.5;
// Avoids a division by zero for workspaces that have a burst and no rate.
constexpr double kMinRefill = 1;

}  // namespace

RefusedCallers::RefusedCallers(Clock clock, std::function<double()> random)
    : clock(std::move(clock)),
      random(std::move(random)),
      checked(this->clock.Now()) {}

absl::Duration RefusedCallers::RetryAfter(std::string_view workspace,
                                          double tokens, absl::Duration wait,
                                          double refill) {
  this->RemoveReturned();
  refill = std::max(kMinRefill, refill);
  const Instant now = this->clock.Now();
  Returning& returning = this->workspaces[std::string(workspace)];
  const double refilled =
      refill * absl::ToDoubleSeconds(now - returning.updated);
  const double before = std::max(0.0, returning.tokens - refilled);
  const double most = refill * absl::ToDoubleSeconds(kMaxReturnTime);
  returning = {std::min(most, before + tokens), now};
  const double factor = 1 + kSpread * this->random();
  return factor * (wait + absl::Seconds(std::min(most, before) / refill));
}

void RefusedCallers::RemoveReturned() {
  const Instant now = this->clock.Now();
  if (now - this->checked < kMaxReturnTime) return;
  this->checked = now;
  std::erase_if(this->workspaces, [&](const auto& item) {
    return now - item.second.updated > kMaxReturnTime;
  });
}

}  // namespace dragonflyglade
