#ifndef DRAGONFLYGLADE_GATEWAY_PLACEMENT_CONTROLLER_H_
#define DRAGONFLYGLADE_GATEWAY_PLACEMENT_CONTROLLER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/decision/model_load_limiter.h"
#include "dragonflyglade/decision/residency_planner.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Gives engines their orders while this instance holds the duty.
///
/// Memory is booked before an order goes out and freed only when the engine
/// shows that the model is gone. Each order names the engine's process and
/// the count of orders that it took before, so that one that comes late or
/// twice does nothing. One event loop.
class PlacementController {
 public:
  PlacementController(boost::asio::io_context& context,
                      const GatewaySettings& settings, const WireFormat& wire,
                      FleetState& fleet, LeaderLease& duty,
                      ReportAggregator& hub, FleetChannel& channel,
                      Metrics& metrics, EventLog& log, Tasks& tasks,
                      Clock clock);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  /// What this instance knows of an engine as its only giver of orders.
  struct Engine {
    std::string id;
    std::string service;
    std::int64_t born_ms = 0;
    std::int64_t orders_taken = 0;
    /// Held or booked.
    std::map<std::string, std::set<std::string>, std::less<>> models;
    std::set<std::string> closing;  ///< models that are being unloaded
    std::set<std::string> unready;  ///< ResidentKey of adapters on their way
    std::optional<std::string> loading;
    Instant loading_until;
    bool ordering = false;  ///< an order is being sent
    bool inspect = false;   ///< what it holds must be asked for
    Instant settled_at;     ///< when the last order was answered
    /// When it last refused an instance's connection.
    std::optional<Instant> refused_at;
  };

  void TakeLack(const wire::TargetLack& lack);
  void TakeRefusing(const std::string& target);
  bool HasEnded(const Engine& engine) const;
  void Forget();
  void Follow();
  void FollowEngine(const TargetState& target);
  void FollowRecord(Engine& engine, const TargetState& target);
  void Plan();
  void PlanService(const ServiceSpec& service,
                   const std::map<ModelName, FleetDemand>& demand);
  ModelLoadLimiter& LoadLimiterOf(const ServiceSpec& service);
  bool Book(const ServiceSpec& service, const ResidencyChange& change);
  boost::asio::awaitable<void> CarryOut(std::shared_ptr<Engine> engine,
                                        ResidencyChange change);
  boost::asio::awaitable<void> GiveOrder(Engine& engine,
                                         const ResidencyChange& change);
  boost::asio::awaitable<ExchangeOutcome> Call(TargetState& target,
                                               OutgoingHttpRequest call);
  boost::asio::awaitable<std::optional<OrderResponse>> SendOrder(
      const Engine& engine, const ResidencyChange& change);
  void Settle(Engine& engine, const ResidencyChange& change,
              OrderResponse answer);
  boost::asio::awaitable<void> Inspect(std::shared_ptr<Engine> engine);
  boost::asio::awaitable<void> AskForReport(Engine& engine);
  bool TakeReport(Engine& engine, std::string_view body);
  std::vector<wire::TargetHoldings> Holdings() const;
  void TellHoldings();
  void WantPlan();

  boost::asio::io_context& context;
  const GatewaySettings& settings;
  const WireFormat& wire;
  FleetState& fleet;
  LeaderLease& duty;
  ReportAggregator& hub;
  FleetChannel& channel;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  ResidencyPlanner planner;
  Signal wake;
  bool acting = false;
  bool plan_wanted = false;
  std::map<std::string, std::shared_ptr<Engine>> engines;
  std::map<std::string, ModelLoadLimiter, std::less<>>
      ceilings;  ///< by service
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PLACEMENT_CONTROLLER_H_
