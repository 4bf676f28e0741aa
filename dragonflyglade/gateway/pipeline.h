#ifndef DRAGONFLYGLADE_GATEWAY_PIPELINE_H_
#define DRAGONFLYGLADE_GATEWAY_PIPELINE_H_

#include <boost/asio/io_context.hpp>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/random/random.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/decision/retry_budget.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/caller_connection.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/quota_admission.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

struct RequestJob;

/// Serves one request: finds its route and workspace, admits it, chooses
/// targets, forwards, and answers the caller. One event loop.
class Pipeline {
 public:
  Pipeline(boost::asio::io_context& context, const GatewaySettings& settings,
           const WireFormat& wire, FleetState& fleet, ModelDemand& demand,
           QuotaAdmission& quotas, FleetChannel& channel, Metrics& metrics,
           EventLog& log, Tasks& tasks, Clock clock);

  /// Answers a request on the link.
  boost::asio::awaitable<void> Serve(CallerRequest request,
                                     CallerConnection& link);

  /// The process stops; it ends at this time at the latest. Requests that
  /// cannot be over by then are refused from a moment after the signal on.
  void StopBy(Instant end);

  /// Requests being served.
  int InFlight() const { return this->in_flight; }

 private:
  /// What to do after an attempt.
  enum class Next { kDone, kTryAnother };

  boost::asio::awaitable<void> ServeJob(RequestJob& job);
  boost::asio::awaitable<void> AnswerFailure(RequestJob& job,
                                             const std::exception_ptr& failure);
  boost::asio::awaitable<std::optional<Refusal>> Admit(RequestJob& job);
  std::optional<Refusal> FindRoute(RequestJob& job);
  std::optional<Refusal> FindWorkspace(RequestJob& job);
  boost::asio::awaitable<std::optional<Refusal>> TakeQuota(RequestJob& job);
  bool EndsTooLate(const RequestJob& job) const;
  boost::asio::awaitable<void> Forward(RequestJob& job);
  boost::asio::awaitable<std::shared_ptr<TargetState>> FindTarget(
      RequestJob& job);
  boost::asio::awaitable<std::shared_ptr<TargetState>> Pace(
      RequestJob& job, std::shared_ptr<TargetState> target);
  int MostAtTarget(const ServiceSpec& service) const;
  std::shared_ptr<TargetState> Choose(RequestJob& job);
  std::shared_ptr<TargetState> ChooseAmong(RequestJob& job, bool all);
  boost::asio::awaitable<Next> Attempt(RequestJob& job,
                                       std::shared_ptr<TargetState> target);
  boost::asio::awaitable<Next> Relay(RequestJob& job, TargetState& target,
                                     TargetExchange& exchange,
                                     const ResponseHead& head);
  boost::asio::awaitable<bool> RelayEvents(RequestJob& job,
                                           const ResponseHead& head,
                                           std::string_view events, bool ended);
  boost::asio::awaitable<Next> AfterNotSent(RequestJob& job,
                                            TargetState& target,
                                            const NotSent& not_sent);
  boost::asio::awaitable<Next> AfterDeclined(RequestJob& job,
                                             TargetState& target,
                                             const Declined& declined);
  boost::asio::awaitable<Next> AfterLost(RequestJob& job, TargetState& target,
                                         const Lost& lost);
  boost::asio::awaitable<Next> AfterWhole(RequestJob& job, TargetState& target,
                                          const WholeAnswer& answer);
  bool MayRepeat(RequestJob& job, bool has_run);
  RetryBudget& RetriesOf(std::string_view service);
  Refusal NoTarget(const RequestJob& job) const;
  void BreakStream(RequestJob& job);
  boost::asio::awaitable<void> Refuse(RequestJob& job, Refusal refusal);
  void Account(RequestJob& job, std::string_view outcome, int status);

  boost::asio::io_context& context;
  const GatewaySettings& settings;
  const WireFormat& wire;
  FleetState& fleet;
  ModelDemand& demand;
  QuotaAdmission& quotas;
  FleetChannel& channel;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  std::map<std::string, std::unique_ptr<RetryBudget>, std::less<>> retries;
  absl::BitGen random;
  int in_flight = 0;
  std::optional<Instant> stop_begun;
  std::optional<Instant> stop_end;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PIPELINE_H_
