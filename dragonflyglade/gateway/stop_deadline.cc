#include "dragonflyglade/gateway/stop_deadline.h"

#include <utility>

namespace dragonflyglade::gateway {

StopDeadline::StopDeadline(std::function<void()> on_expired)
    : on_expired(std::move(on_expired)) {}

StopDeadline::~StopDeadline() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->ended = true;
  }
  this->ended_changed.notify_all();
  if (this->thread.joinable()) this->thread.join();
}

void StopDeadline::Start(absl::Duration time) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->thread.joinable()) return;
  this->thread = std::thread([this, time] { this->Watch(time); });
}

void StopDeadline::Watch(absl::Duration time) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const bool in_time = this->ended_changed.wait_for(
      lock, absl::ToChronoNanoseconds(time), [this] { return this->ended; });
  if (!in_time) this->on_expired();
}

}  // namespace dragonflyglade::gateway
