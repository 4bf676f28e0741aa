#include "dragonflyglade/gateway/step_timer.h"

#include <utility>

namespace dragonflyglade::gateway {

namespace {

// After the last bytes are read, the handler that ends the step may be queued
// behind a check that finds no bytes. It has run by the next check.
constexpr int kChecksWithoutBytes = 2;
// Bytes that are never read must not keep a step from timing out.
constexpr absl::Duration kMaxCheckTime = absl::Milliseconds(100);

}  // namespace

StepTimer::StepTimer(boost::asio::io_context& context, Clock clock,
                     std::function<bool()> has_unread_bytes)
    : timer(context),
      clock(std::move(clock)),
      has_unread_bytes(std::move(has_unread_bytes)) {}

StepTimer::~StepTimer() { *this->step += 1; }

void StepTimer::Start(absl::Duration time, Expired expired) {
  *this->step += 1;
  ExpiryChecks checks;
  checks.due = this->clock.Now() + time;
  this->Wait(time, checks, std::move(expired));
}

void StepTimer::Stop() {
  *this->step += 1;
  this->timer.cancel();
}

// An expired wait cannot be cancelled once its handler is queued, so the
// handler checks that its step is still the current one. While the event loop
// was busy, the step's time may have ended although its bytes had arrived. The
// handler therefore lets the loop run further turns until all received bytes
// are read.
void StepTimer::Wait(absl::Duration time, ExpiryChecks checks,
                     Expired expired) {
  this->timer.expires_after(absl::ToChronoNanoseconds(time));
  this->timer.async_wait([this, current_step = this->step, number = *this->step,
                          checks, expired = std::move(expired)](
                             const boost::system::error_code& error) mutable {
    if (error || *current_step != number) return;
    if (this->MustCheckAgain(checks)) {
      this->Wait(absl::ZeroDuration(), checks, std::move(expired));
      return;
    }
    expired(this->clock.Now() - checks.due);
  });
}

bool StepTimer::MustCheckAgain(ExpiryChecks& checks) const {
  const Instant now = this->clock.Now();
  if (!checks.first.has_value()) checks.first = now;
  checks.without_bytes =
      this->has_unread_bytes() ? 0 : checks.without_bytes + 1;
  if (checks.without_bytes >= kChecksWithoutBytes) return false;
  return now - *checks.first < kMaxCheckTime;
}

}  // namespace dragonflyglade::gateway
