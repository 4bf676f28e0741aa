#include "dragonflyglade/gateway/step_timer.h"

#include <utility>

namespace dragonflyglade::gateway {

namespace {

// The handler that takes the last bytes may be queued behind a look that finds
// none; it has run by the next one.
constexpr int kQuietLooks = 2;
// Bytes that nobody reads must not hold a step open.
constexpr absl::Duration kLongestLooking = absl::Milliseconds(100);

}  // namespace

StepTimer::StepTimer(boost::asio::io_context& context, Clock clock,
                     std::function<bool()> has_unread_bytes)
    : timer(context),
      clock(std::move(clock)),
      has_unread_bytes(std::move(has_unread_bytes)) {}

StepTimer::~StepTimer() { *this->step += 1; }

void StepTimer::Start(absl::Duration time, Expired expired) {
  *this->step += 1;
  Looks looks;
  looks.due = this->clock.Now() + time;
  this->Wait(time, looks, std::move(expired));
}

void StepTimer::Stop() {
  *this->step += 1;
  this->timer.cancel();
}

// A wait that has expired cannot be cancelled once its handler is queued, so
// the handler checks that its step is still the present one. While the loop was
// busy, the end of the time and the bytes of the step may both have come; turns
// of the loop go on until what has come is read.
void StepTimer::Wait(absl::Duration time, Looks looks, Expired expired) {
  this->timer.expires_after(absl::ToChronoNanoseconds(time));
  this->timer.async_wait([this, present = this->step, number = *this->step,
                          looks, expired = std::move(expired)](
                             const boost::system::error_code& error) mutable {
    if (error || *present != number) return;
    if (this->LooksAgain(looks)) {
      this->Wait(absl::ZeroDuration(), looks, std::move(expired));
      return;
    }
    expired(this->clock.Now() - looks.due);
  });
}

bool StepTimer::LooksAgain(Looks& looks) const {
  const Instant now = this->clock.Now();
  if (!looks.first.has_value()) looks.first = now;
  looks.quiet = this->has_unread_bytes() ? 0 : looks.quiet + 1;
  if (looks.quiet >= kQuietLooks) return false;
  return now - *looks.first < kLongestLooking;
}

}  // namespace dragonflyglade::gateway
