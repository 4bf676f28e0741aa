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
#include "dragonflyglade/gateway/target_paths.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Gives engines their load and unload orders while this instance is leader.
///
/// Memory is reserved before an order is sent and released only when the engine
/// shows that the model is unloaded. Each order names the engine's process and
/// the number of orders that it has accepted before, so that a late or
/// duplicate order has no effect. Used by one event loop.
class PlacementController {
 public:
  PlacementController(boost::asio::io_context& context,
                      const GatewaySettings& settings, const WireFormat& wire,
                      FleetState& fleet, LeaderLease& leader_lease,
                      ReportAggregator& aggregator, FleetChannel& channel,
                      TargetPaths& paths, Metrics& metrics, EventLog& log,
                      Tasks& tasks, Clock clock);

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run();

 private:
  /// What an engine said to an attempt to send it an order.
  struct OrderAttempt {
    std::optional<OrderResponse> response;
    /// The order was sent and has no valid response: it may be carried out
    /// late.
    bool may_be_late = false;
  };
  /// What became of an order after all attempts.
  struct OrderResult {
    int attempts = 0;
    std::optional<OrderResponse> response;  ///< to the last attempt
    /// Whether an attempt other than an accepted one may be carried out late.
    bool may_be_late = false;
  };

  /// An order without a response, until a report shows what became of it.
  struct UnansweredOrder {
    std::string resident_key;  ///< of its model or adapter
    Instant planned_at;
  };

  /// The leader's state of an engine. Only the leader gives orders.
  struct Engine {
    std::string id;
    std::string service;
    std::int64_t born_ms = 0;
    std::int64_t orders_taken = 0;
    /// Adapters by model, resident or with memory reserved.
    std::map<std::string, std::set<std::string>, std::less<>> models;
    std::set<std::string> unloading;  ///< models that are being unloaded
    /// ResidentKey of adapters that are being loaded or unloaded.
    std::set<std::string> changing_adapters;
    std::optional<std::string> loading;  ///< model that is being loaded
    Instant loading_since;               ///< when it was planned
    /// Whether the target's record has listed it since before it was ordered,
    /// so that it does not show the load.
    bool listed_before_load = false;
    /// As it was after the last load; nothing if that is not known.
    std::optional<CachedWeights> cached;
    Instant loading_deadline;  ///< after it, the engine is inspected
    bool is_busy = false;      ///< an order or an inspection is in progress
    std::optional<UnansweredOrder> unanswered;  ///< the last order, if it is
    bool needs_inspection = false;              ///< its residency is unknown
    int failed_inspections = 0;                 ///< in a row
    bool has_planned_order = false;             ///< which the inspection delays
    Instant last_order_ended_at;  ///< when the last order or inspection ended
    /// When an instance's connection was last refused.
    std::optional<Instant> connection_refused_at;
  };

  using LoadCount = int (ModelLoadLimiter::*)() const;

  void HandleMissingModel(const wire::TargetLack& lack);
  void HandleConnectionRefused(const std::string& target);
  bool IsTerminated(const Engine& engine) const;
  void StartActing();
  void StopActing();
  void ForgetEngines();
  void UpdateEngines();
  void UpdateEngine(const TargetState& target);
  void ApplyTargetRecord(Engine& engine, const TargetState& target);
  void Plan();
  void PlanService(const ServiceSpec& service,
                   const std::map<ModelName, FleetDemand>& demand);
  void InspectSomeEngines(const std::map<ModelName, FleetDemand>& demand);
  void BeginInspection(const std::shared_ptr<Engine>& engine);
  ModelLoadLimiter& LoadLimiterOf(const ServiceSpec& service);
  double SumOfLoads(LoadCount count) const;
  static EngineOrderKey NextOrderKey(const Engine& engine);
  void CountOrderResult(std::string_view service, const EngineOrderKey& order,
                        const ResidencyChange& change,
                        const OrderResult& result);
  bool ScheduleOrder(const ServiceSpec& service, const ResidencyChange& change);
  boost::asio::awaitable<void> ExecuteOrder(std::shared_ptr<Engine> engine,
                                            ResidencyChange change);
  boost::asio::awaitable<void> DeliverOrder(Engine& engine,
                                            const ResidencyChange& change);
  boost::asio::awaitable<ExchangeOutcome> CallEngine(TargetState& target,
                                                     OutgoingHttpRequest call);
  boost::asio::awaitable<OrderAttempt> SendOrder(const Engine& engine,
                                                 const ResidencyChange& change);
  boost::asio::awaitable<OrderResult> SendUntilAnswered(
      const Engine& engine, const ResidencyChange& change);
  void ApplyOrderResponse(Engine& engine, const ResidencyChange& change,
                          OrderResponse response);
  boost::asio::awaitable<void> InspectEngine(std::shared_ptr<Engine> engine);
  boost::asio::awaitable<void> FetchEngineReport(Engine& engine);
  void LogUnansweredOrder(Engine& engine, const EngineReport& report);
  bool ApplyEngineReport(Engine& engine, std::string_view body);
  static wire::TargetHoldings HoldingsOf(const Engine& engine);
  std::vector<wire::TargetHoldings> CurrentHoldings() const;
  void PublishHoldings(const Engine& engine);
  void RequestPlan();

  boost::asio::io_context& context;
  const GatewaySettings& settings;
  const WireFormat& wire;
  FleetState& fleet;
  LeaderLease& leader_lease;
  ReportAggregator& aggregator;
  FleetChannel& channel;
  TargetPaths& paths;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  ResidencyPlanner planner;
  AsyncCondition wake;
  bool acting = false;
  bool plan_requested = false;
  std::map<std::string, std::shared_ptr<Engine>> engines;
  /// The fencing token of the lease under which the engines are known.
  std::optional<std::uint64_t> engines_fence;
  /// By service.
  std::map<std::string, ModelLoadLimiter, std::less<>> load_limiters;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PLACEMENT_CONTROLLER_H_
