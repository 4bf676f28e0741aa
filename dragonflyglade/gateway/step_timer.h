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

/// Limits the time of one step of the communication on a connection, such as
/// reading a request's head. One step at a time, on one event loop.
///
/// A step does not time out after it has ended, nor if its bytes arrived in
/// time but the event loop was too busy to read them.
class StepTimer {
 public:
  /// Called when the step has timed out.
  /// @param late time since the end of the step's time
  using Expired = std::function<void(absl::Duration late)>;

  /// @param has_unread_bytes returns whether the connection has unread bytes
  StepTimer(boost::asio::io_context& context, Clock clock,
            std::function<bool()> has_unread_bytes);
  ~StepTimer();
  StepTimer(const StepTimer&) = delete;
  StepTimer& operator=(const StepTimer&) = delete;

  /// Begins a step, and ends the one before it.
  void Start(absl::Duration time, Expired expired);

  /// Ends the step.
  void Stop();

 private:
  /// The checks for unread bytes after the step's time is over.
  struct ExpiryChecks {
    Instant due;  ///< the end of the step's time
    std::optional<Instant> first;
    int without_bytes = 0;  ///< consecutive checks that found no bytes
  };

  void Wait(absl::Duration time, ExpiryChecks checks, Expired expired);
  bool MustCheckAgain(ExpiryChecks& checks) const;

  boost::asio::steady_timer timer;
  const Clock clock;
  const std::function<bool()> has_unread_bytes;
  /// Number of the current step; shared with the handlers, which may outlive
  /// the timer.
  std::shared_ptr<std::int64_t> step = std::make_shared<std::int64_t>(0);
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STEP_TIMER_H_
