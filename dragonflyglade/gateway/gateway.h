#ifndef DRAGONFLYGLADE_GATEWAY_GATEWAY_H_
#define DRAGONFLYGLADE_GATEWAY_GATEWAY_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/caller_buffers.h"
#include "dragonflyglade/gateway/caller_connection.h"
#include "dragonflyglade/gateway/connection_limit.h"
#include "dragonflyglade/gateway/connection_plan.h"
#include "dragonflyglade/gateway/crash_suspects.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/event_loop.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/listeners.h"
#include "dragonflyglade/gateway/loop_lag_monitor.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/placement_controller.h"
#include "dragonflyglade/gateway/prompt_cache_reader.h"
#include "dragonflyglade/gateway/prompt_caches.h"
#include "dragonflyglade/gateway/quota_admission.h"
#include "dragonflyglade/gateway/registration.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/gateway/request_memory.h"
#include "dragonflyglade/gateway/spend_recorder.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/store_relay.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/store_watcher.h"
#include "dragonflyglade/gateway/stream_origins.h"
#include "dragonflyglade/gateway/target_crash_detector.h"
#include "dragonflyglade/gateway/target_paths.h"
#include "dragonflyglade/gateway/target_statements.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/tunnel_server.h"
#include "dragonflyglade/gateway/version_recorder.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// A gateway process. Builds its components on one event loop, serves until a
/// signal to stop, and lets requests in progress finish before it ends.
class Gateway {
 public:
  using ReadSettings = std::function<Result<GatewaySettings>()>;

  /// Called when the shutdown begins.
  /// @param stop_within time in which the process has to end
  using OnStopping = std::function<void(absl::Duration stop_within)>;

  /// @param reread reads the settings again, on SIGHUP
  Gateway(GatewaySettings settings, ReadSettings reread, WireFormat wire,
          OnStopping on_stopping = nullptr);

  /// Listens and serves until a shutdown by SIGTERM or SIGINT is complete. When
  /// it returns, all requests and connections of this instance have ended.
  /// Errors: kConnectFailed if it cannot listen on an address.
  Status Run();

  /// The settings, with the ports that the process listens on.
  const GatewaySettings& Settings() const { return this->settings; }

  /// Reads the settings again, as SIGHUP does. Invalid settings are logged and
  /// change nothing. To be called on the event loop.
  void Reload();

  /// Begins the shutdown, as SIGTERM does. To be called on the event loop.
  void Stop();

  EventLoop& Context() { return this->context; }
  /// Waits for the log to be written, after Run; see EventLog::Drain.
  bool DrainLog(absl::Duration at_most) { return this->log.Drain(at_most); }
  /// This instance's view of the fleet; to be read on the event loop.
  const FleetState& Fleet() const { return this->fleet; }
  bool HoldsLeaderLease() const { return this->leader_lease.IsLeader(); }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Socket = boost::asio::ip::tcp::socket;
  /// The response of an operator endpoint.
  struct PlainResponse {
    int status = 404;
    std::string content_type = "text/plain";
    std::string body;
  };
  using QueryHandler = std::function<PlainResponse(std::string_view path)>;

  boost::asio::awaitable<void> AcceptCallers();
  void ServeEndpoint(std::string_view name, Acceptor& acceptor,
                     ConnectionLimit& connections, QueryHandler handler);
  boost::asio::awaitable<void> AcceptQueries(Acceptor& acceptor,
                                             ConnectionLimit& connections,
                                             QueryHandler handler);
  /// Accepts the next connection for which there is room.
  boost::asio::awaitable<Socket> Accept(Acceptor& acceptor,
                                        ConnectionLimit& connections);
  boost::asio::awaitable<void> ServeCaller(Socket socket);
  boost::asio::awaitable<int> ServeRequests(CallerConnection& connection);
  boost::asio::awaitable<void> ServeRequest(CallerConnection& connection,
                                            ReadResult read);
  void RecordConnectionEnd(const CallerConnection& connection, int requests);
  boost::asio::awaitable<void> ServeQueries(Socket socket,
                                            ConnectionLimit& connections,
                                            QueryHandler handler);
  boost::asio::awaitable<void> WaitForSignal();
  boost::asio::awaitable<void> Shutdown();
  PlainResponse HandleReadiness(std::string_view path) const;
  PlainResponse HandleDirectory(std::string_view path) const;
  PlainResponse HandleMetrics(std::string_view path) const;
  InstanceRecord MakeInstanceRecord() const;
  CallerLimits CurrentLimits() const;
  CallerResources MakeCallerResources(ConnectionLimit& connections);
  void AddGauges();

  GatewaySettings settings;
  const ReadSettings reread;
  const OnStopping on_stopping;
  const WireFormat wire;
  const Clock clock;
  EventLoop context;
  // Constructed before the listeners: a process that sees this one listen may
  // send it a signal.
  boost::asio::signal_set signals;
  Listeners listeners;
  Metrics metrics;
  EventLog log;
  Tasks tasks;
  LoopLagMonitor loop_watch;
  StoreAvailability store_availability;
  FleetState fleet;
  ModelDemand demand;
  QuotaParticipants quota_owners;
  QuotaWindows quotas;
  StoreClient store;
  StoreSyncState sync_state;
  StoreWatcher watcher;
  LeaderLease leader_lease;
  const InstanceRecord self;
  ReportAggregator aggregator;
  QuotaAdmission quota_admission;
  StoreRelay relay;
  EarlierVersions earlier_versions;
  StreamOrigins stream_origins;
  CrashSuspects crash_suspects;
  PromptCaches prompt_caches;
  FleetChannel channel;
  TargetStatements statements;
  RequestMemory request_heads;
  RequestMemory request_bodies;
  CallerBuffers caller_buffers;
  const ConnectionPlan connection_plan;
  ConnectionLimit caller_connections;
  ConnectionLimit directory_connections;
  ConnectionLimit readiness_connections;
  ConnectionLimit metrics_connections;
  TargetPaths paths;
  TunnelServer tunnel_server;
  Registration registration;
  SpendRecorder spend_recorder;
  VersionRecorder version_recorder;
  PlacementController placement;
  TargetCrashDetector crash_detector;
  PromptCacheReader prompt_cache_reader;
  Pipeline pipeline;
  bool stopping = false;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_GATEWAY_H_
