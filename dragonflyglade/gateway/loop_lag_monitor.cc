#include "dragonflyglade/gateway/loop_lag_monitor.h"

#include <utility>

#include "dragonflyglade/gateway/signal.h"

namespace dragonflyglade::gateway {
namespace {

constexpr absl::Duration kLookEvery = absl::Milliseconds(50);
// Turns of the loop take a millisecond or two; callers of plain services
// notice ten more.
constexpr absl::Duration kNotable = absl::Milliseconds(10);

}  // namespace

LoopLagMonitor::LoopLagMonitor(boost::asio::io_context& context,
                               Metrics& metrics, EventLog& log, Clock clock)
    : context(context), metrics(metrics), log(log), clock(std::move(clock)) {}

boost::asio::awaitable<void> LoopLagMonitor::Run() {
  while (true) {
    const Instant due = this->clock.Now() + kLookEvery;
    co_await Sleep(this->context, kLookEvery);
    const absl::Duration late = this->clock.Now() - due;
    this->metrics.Observe("loop_late_seconds", "", absl::ToDoubleSeconds(late));
    if (late < kNotable) continue;
    this->log.Write("process", "held up", {{"late_ms", late}});
  }
}

}  // namespace dragonflyglade::gateway
