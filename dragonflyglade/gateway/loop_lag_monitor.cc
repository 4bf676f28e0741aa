#include "dragonflyglade/gateway/loop_lag_monitor.h"

#include <utility>

#include "dragonflyglade/gateway/async_condition.h"

namespace dragonflyglade::gateway {
namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(50);
// A turn of the event loop takes a millisecond or two. Ten more are noticeable
// to callers of services without engines.
constexpr absl::Duration kMinLoggedLag = absl::Milliseconds(10);

}  // namespace

LoopLagMonitor::LoopLagMonitor(boost::asio::io_context& context,
                               Metrics& metrics, EventLog& log, Clock clock)
    : context(context), metrics(metrics), log(log), clock(std::move(clock)) {}

boost::asio::awaitable<void> LoopLagMonitor::Run() {
  while (true) {
    const Instant due = this->clock.Now() + kCheckInterval;
    co_await Sleep(this->context, kCheckInterval);
    const absl::Duration lag = this->clock.Now() - due;
    this->metrics.Observe("loop_late_seconds", "", absl::ToDoubleSeconds(lag));
    if (lag < kMinLoggedLag) continue;
    this->log.Write("process", "event loop late", {{"late_ms", lag}});
  }
}

}  // namespace dragonflyglade::gateway
