#include "dragonflyglade/gateway/step_timer.h"

#include <utility>

namespace dragonflyglade::gateway {

namespace {

// Each turn reads 512 bytes or more of a connection, so answers of 128 KB are
// read to their end. Bytes that nobody reads must not hold a step open.
constexpr int kMostLooks = 256;

}  // namespace

StepTimer::StepTimer(boost::asio::io_context& context, Clock clock,
                     std::function<bool()> bytes_wait)
    : timer(context),
      clock(std::move(clock)),
      bytes_wait(std::move(bytes_wait)) {}

StepTimer::~StepTimer() { *this->step += 1; }

void StepTimer::Start(absl::Duration time, Expired expired) {
  *this->step += 1;
  this->Wait(time, this->clock.Now() + time, 0, std::move(expired));
}

void StepTimer::Stop() {
  *this->step += 1;
  this->timer.cancel();
}

// A wait that has expired cannot be cancelled once its handler is queued, so
// the handler checks that its step is still the present one. While the loop was
// busy, both the end of the time and the bytes of the step may have come;
// sockets come before timers in the next turn, so one more turn shows it.
void StepTimer::Wait(absl::Duration time, Instant due, int looks,
                     Expired expired) {
  this->timer.expires_after(absl::ToChronoNanoseconds(time));
  this->timer.async_wait([this, present = this->step, number = *this->step, due,
                          looks, expired = std::move(expired)](
                             const boost::system::error_code& error) mutable {
    if (error || *present != number) return;
    if (this->LooksAgain(looks)) {
      this->Wait(absl::ZeroDuration(), due, looks + 1, std::move(expired));
      return;
    }
    expired(this->clock.Now() - due);
  });
}

bool StepTimer::LooksAgain(int looks) const {
  if (looks == 0) return true;
  return looks < kMostLooks && this->bytes_wait();
}

}  // namespace dragonflyglade::gateway
