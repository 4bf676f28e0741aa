#ifndef DRAGONFLYGLADE_GATEWAY_STEP_TIMER_H_
#define DRAGONFLYGLADE_GATEWAY_STEP_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade::gateway {

/// Bounds how long a step on a connection may take; one step at a time.
///
/// A step that has ended is never timed out, and neither is one whose bytes
/// arrived in time while the loop was busy. One event loop.
class StepTimer {
 public:
  /// Called when the step has timed out.
  /// @param late how much after its end
  using Expired = std::function<void(absl::Duration late)>;

  /// @param has_unread_bytes whether the connection has bytes that are not read
  /// yet
  StepTimer(boost::asio::io_context& context, Clock clock,
            std::function<bool()> has_unread_bytes);
  ~StepTimer();
  StepTimer(const StepTimer&) = delete;
  StepTimer& operator=(const StepTimer&) = delete;

  /// Begins a step; the one before it has ended.
  void Start(absl::Duration time, Expired expired);

  /// Ends the step.
  void Stop();

 private:
  /// The looks at a connection whose step's time is over.
  struct Looks {
    Instant due;  ///< the end of the step's time
    std::optional<Instant> first;
    int quiet = 0;  ///< in a row that found no bytes
  };

  void Wait(absl::Duration time, Looks looks, Expired expired);
  bool LooksAgain(Looks& looks) const;

  boost::asio::steady_timer timer;
  const Clock clock;
  const std::function<bool()> has_unread_bytes;
  /// The present step's number; handlers share it, since they may outlive this.
  std::shared_ptr<std::int64_t> step = std::make_shared<std::int64_t>(0);
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STEP_TIMER_H_
