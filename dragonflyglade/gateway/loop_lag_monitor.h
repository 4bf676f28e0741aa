#ifndef DRAGONFLYGLADE_GATEWAY_LOOP_LAG_MONITOR_H_
#define DRAGONFLYGLADE_GATEWAY_LOOP_LAG_MONITOR_H_

#include <boost/asio/io_context.hpp>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Measures the lag of the event loop, which a long handler or a lack of CPU
/// time causes. Observes it in the metric `loop_late_seconds`, and logs a high
/// lag as `process` `event loop late`.
class LoopLagMonitor {
 public:
  LoopLagMonitor(boost::asio::io_context& context, Metrics& metrics,
                 EventLog& log, Clock clock);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::io_context& context;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_LOOP_LAG_MONITOR_H_
