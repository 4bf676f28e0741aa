#ifndef DRAGONFLYGLADE_GATEWAY_PIPELINE_H_
#define DRAGONFLYGLADE_GATEWAY_PIPELINE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "absl/random/random.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/quota_window.h"
#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/decision/retry_budget.h"
#include "dragonflyglade/gateway/caller_link.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Serves one request: finds its route and workspace, admits it, chooses
/// targets, forwards, and answers the caller. One event loop.
class Pipeline {
 public:
  Pipeline(boost::asio::io_context& context, const GatewaySettings& settings,
           const WireFormat& wire, FleetState& fleet, ModelDemand& demand,
           QuotaWindows& quotas, FleetChannel& channel, Metrics& metrics,
           EventLog& log, Clock clock);

  /// Answers a request on the link.
  boost::asio::awaitable<void> Serve(CallerRequest request, CallerLink& link);

  /// The process stops; it ends at this time at the latest. Requests that
  /// cannot be over by then are refused from a moment after the signal on.
  void StopBy(Instant end);

  /// Requests being served.
  int InFlight() const { return this->in_flight; }

 private:
  struct Job;
  /// What to do after an attempt.
  enum class Next { kDone, kTryAnother };

  std::optional<Refusal> Admit(Job& job);
  std::optional<Refusal> FindWorkspace(Job& job);
  bool EndsTooLate(const Job& job) const;
  boost::asio::awaitable<void> Forward(Job& job);
  boost::asio::awaitable<std::shared_ptr<TargetState>> FindTarget(Job& job);
  std::shared_ptr<TargetState> Choose(Job& job);
  std::shared_ptr<TargetState> ChooseAmong(Job& job, bool all);
  boost::asio::awaitable<Next> Attempt(Job& job,
                                       std::shared_ptr<TargetState> target);
  boost::asio::awaitable<Next> Relay(Job& job, TargetState& target,
                                     TargetExchange& exchange,
                                     const AnswerHead& head);
  boost::asio::awaitable<bool> RelayEvents(Job& job, const AnswerHead& head,
                                           std::string_view events, bool ended);
  boost::asio::awaitable<Next> AfterNotSent(Job& job, TargetState& target,
                                            const NotSent& not_sent);
  boost::asio::awaitable<Next> AfterDeclined(Job& job, TargetState& target,
                                             const Declined& declined);
  boost::asio::awaitable<Next> AfterLost(Job& job, TargetState& target,
                                         const Lost& lost);
  boost::asio::awaitable<Next> AfterWhole(Job& job, TargetState& target,
                                          const WholeAnswer& answer);
  bool MayRepeat(Job& job, bool has_run);
  RetryBudget& RetriesOf(std::string_view service);
  boost::asio::awaitable<void> Refuse(Job& job, Refusal refusal);
  void Account(Job& job, std::string_view outcome, int status);

  boost::asio::io_context& context;
  const GatewaySettings& settings;
  const WireFormat& wire;
  FleetState& fleet;
  ModelDemand& demand;
  QuotaWindows& quotas;
  FleetChannel& channel;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  std::map<std::string, std::unique_ptr<RetryBudget>, std::less<>> retries;
  absl::BitGen random;
  int in_flight = 0;
  std::optional<Instant> stop_begun;
  std::optional<Instant> stop_end;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PIPELINE_H_
