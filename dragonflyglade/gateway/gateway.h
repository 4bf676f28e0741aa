#ifndef DRAGONFLYGLADE_GATEWAY_GATEWAY_H_
#define DRAGONFLYGLADE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/listeners.h"
#include "dragonflyglade/gateway/loop_lag_monitor.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/pipeline.h"
#include "dragonflyglade/gateway/placement_controller.h"
#include "dragonflyglade/gateway/quota_admission.h"
#include "dragonflyglade/gateway/registration.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/gateway/spend_recorder.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/store_relay.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/store_watcher.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// One gateway process: wires its parts together on one event loop, serves
/// until a signal to stop, and then ends without cutting a request.
class Gateway {
 public:
  using ReadSettings = std::function<Result<GatewaySettings>()>;

  /// @param reread reads the settings anew, for SIGHUP
  Gateway(GatewaySettings settings, ReadSettings reread, WireFormat wire);

  /// Listens and serves until SIGTERM or SIGINT was followed through.
  /// Errors: kConnectFailed if an address cannot be listened on.
  Status Run();

  /// The settings, with the ports that are listened on.
  const GatewaySettings& Settings() const { return this->settings; }

  /// Reads the settings anew, as SIGHUP does. Settings that are not valid
  /// change nothing. From the event loop only.
  void Reload();

  /// Begins to stop, as a signal does. From the event loop only.
  void Stop();

  boost::asio::io_context& Context() { return this->context; }
  /// What it believes; to be read on the event loop.
  /// After Run: see EventLog::Drain.
  bool DrainLog(absl::Duration at_most) { return this->log.Drain(at_most); }
  const FleetState& Fleet() const { return this->fleet; }
  bool HoldsLeaderLease() const { return this->duty.Held(); }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Socket = boost::asio::ip::tcp::socket;
  /// Answers a question of one line.
  struct PlainAnswer {
    int status = 404;
    std::string content_type = "text/plain";
    std::string body;
  };
  using Answerer = std::function<PlainAnswer(std::string_view path)>;

  boost::asio::awaitable<void> AcceptCallers(Acceptor& acceptor);
  void KeepAnswering(std::string_view name, Acceptor& acceptor,
                     Answerer answer);
  boost::asio::awaitable<void> AcceptQuestions(Acceptor& acceptor,
                                               Answerer answer);
  boost::asio::awaitable<void> ServeCaller(Socket socket);
  boost::asio::awaitable<int> ServeRequests(CallerConnection& link);
  void NoteClosed(const CallerConnection& link, int requests);
  boost::asio::awaitable<void> ServeQuestions(Socket socket, Answerer answer);
  boost::asio::awaitable<void> WaitForSignal();
  boost::asio::awaitable<void> FollowStop();
  PlainAnswer AnswerReadiness(std::string_view path) const;
  PlainAnswer AnswerDirectory(std::string_view path) const;
  PlainAnswer AnswerMetrics(std::string_view path) const;
  InstanceRecord MakeSelf() const;
  CallerLimits Limits() const;
  void AddGauges();

  GatewaySettings settings;
  const ReadSettings reread;
  const WireFormat wire;
  const Clock clock;
  boost::asio::io_context context;
  // Before the listeners: who sees the process listen may signal it.
  boost::asio::signal_set signals;
  Listeners listeners;
  Metrics metrics;
  EventLog log;
  Tasks tasks;
  LoopLagMonitor loop_watch;
  FleetState fleet;
  ModelDemand demand;
  QuotaParticipants quota_owners;
  QuotaWindows quotas;
  StoreClient store;
  StoreSyncState news;
  StoreWatcher follower;
  LeaderLease duty;
  const InstanceRecord self;
  Registration registration;
  ReportAggregator hub;
  QuotaAdmission desk;
  StoreRelay relay;
  FleetChannel channel;
  SpendRecorder spend_recorder;
  PlacementController placement;
  Pipeline pipeline;
  bool stopping = false;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_GATEWAY_H_
