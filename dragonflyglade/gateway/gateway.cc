#include "dragonflyglade/gateway/gateway.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "absl/random/random.h"
#include "dragonflyglade/operator/caller_key.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Delay after a failed accept, e.g. for lack of file descriptors.
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(50);
// Callers cache the list of instances for the time that it states; some cache
// it for three times as long.
constexpr int kMaxDirectoryCacheFactor = 3;
// The part of the shutdown time that is reserved for the end of the process.
constexpr absl::Duration kStopMargin = absl::Milliseconds(600);
constexpr absl::Duration kStopPollInterval = absl::Milliseconds(50);
// Addresses in one directory response.
constexpr std::size_t kMaxDirectoryAddresses = 64;
constexpr std::size_t kIncarnationBytes = 8;

std::function<double()> UniformRandom() {
  return [generator = std::make_shared<absl::BitGen>()] {
    return absl::Uniform(*generator, 0.0, 1.0);
  };
}

}  // namespace

Gateway::Gateway(GatewaySettings settings, ReadSettings reread, WireFormat wire,
                 OnStopping on_stopping)
    : settings(std::move(settings)),
      reread(std::move(reread)),
      on_stopping(std::move(on_stopping)),
      wire(std::move(wire)),
      clock(SteadyClock()),
      context(1),
      signals(this->context, SIGTERM, SIGINT, SIGHUP),
      listeners(this->context, this->settings),
      log(this->settings.instance, this->clock),
      tasks(this->context, this->metrics, this->log),
      loop_watch(this->context, this->metrics, this->log, this->clock),
      store_availability(this->settings.target_heartbeat),
      fleet(this->context, this->wire, this->store_availability, this->clock,
            this->log),
      quota_owners(this->settings.quota_allowance.window, this->clock),
      quotas(this->settings.quota_allowance, this->settings.first_start,
             this->clock),
      store(this->context, this->settings.store, this->wire, this->metrics,
            this->clock),
      sync_state(this->context, this->store_availability, this->clock),
      watcher(this->context, this->store, this->fleet, this->sync_state,
              this->settings.instance, this->log, this->clock),
      leader_lease({this->settings.leader_handover_delay}, ReadClocks),
      self(this->MakeInstanceRecord()),
      aggregator(this->quota_owners, this->settings.quota_allowance.window,
                 this->clock),
      quota_admission(this->context, this->fleet, this->quota_owners,
                      this->quotas, this->aggregator, this->leader_lease,
                      this->self, this->settings.quota_allowance.window,
                      this->metrics, this->log, this->clock, absl::Now,
                      UniformRandom()),
      relay(this->context, this->fleet, this->sync_state, this->self,
            this->settings.link_mbps, this->metrics, this->log, this->clock),
      earlier_versions(this->context, this->store, this->wire, this->fleet,
                       this->sync_state, this->log, this->clock, absl::Now),
      stream_origins(this->context, this->fleet, this->earlier_versions,
                     this->sync_state, this->self, this->metrics, this->log,
                     this->clock),
      crash_suspects(this->context, this->fleet, this->store, this->self,
                     this->metrics, this->log, this->tasks, this->clock,
                     absl::Now),
      prompt_caches(this->settings, this->fleet, this->metrics, this->clock),
      channel(this->context, this->listeners.peers, this->fleet, this->demand,
              this->quotas, this->quota_admission, this->aggregator,
              this->leader_lease, this->self, this->settings.first_start,
              this->sync_state, this->relay, this->stream_origins,
              this->crash_suspects, this->prompt_caches, this->metrics,
              this->tasks, this->clock),
      statements(this->fleet, this->channel, this->self.name, this->metrics,
                 this->log, this->clock),
      request_heads([this] { return this->settings.request_bodies_bytes / 2; },
                    RequestMemory::kSmallHeadBytes, this->clock),
      request_bodies([this] { return this->settings.request_bodies_bytes; },
                     RequestMemory::kSmallBodyBytes, this->clock),
      caller_buffers(
          this->context, [this] { return this->settings.caller_buffers; },
          this->clock),
      connection_plan(
          PlanConnections(DescriptorLimit(this->settings.descriptors))),
      caller_connections(this->connection_plan.callers, this->clock),
      directory_connections(this->connection_plan.directory, this->clock),
      readiness_connections(this->connection_plan.readiness, this->clock),
      metrics_connections(this->connection_plan.metrics, this->clock),
      paths(this->context, this->wire, this->fleet, this->channel,
            this->statements, this->self, this->metrics, this->log, this->tasks,
            this->clock),
      tunnel_server(this->context, this->connection_plan.tunnels, this->fleet,
                    this->paths, this->statements, this->metrics, this->tasks,
                    this->clock),
      registration(
          this->context, this->store, this->fleet, this->leader_lease,
          this->paths, this->self,
          {this->settings.lease_ttl, this->settings.unlisted_lease_ttl},
          this->log, this->clock),
      spend_recorder(this->context, this->store, this->aggregator,
                     this->leader_lease, this->log, absl::Now),
      version_recorder(this->context, this->store, this->fleet,
                       this->earlier_versions, this->sync_state,
                       this->leader_lease, this->clock, absl::Now),
      placement(this->context, this->settings, this->wire, this->fleet,
                this->leader_lease, this->aggregator, this->channel,
                this->paths, this->metrics, this->log, this->tasks,
                this->clock),
      crash_detector(this->context, this->wire, this->fleet, this->channel,
                     this->paths, this->crash_suspects, this->metrics,
                     this->log, this->tasks, this->clock),
      prompt_cache_reader(this->context, this->settings, this->wire,
                          this->fleet, this->prompt_caches, this->paths,
                          this->metrics, this->tasks, this->clock, absl::Now),
      pipeline(this->context, this->settings, this->wire, this->fleet,
               this->demand, this->quota_admission, this->channel,
               this->stream_origins, this->crash_suspects, this->crash_detector,
               this->paths, this->prompt_caches, this->caller_buffers,
               this->request_bodies, this->sync_state, this->metrics, this->log,
               this->tasks, this->clock) {
  if (this->settings.first_start) this->fleet.SetFirstStart();
  this->AddGauges();
}

InstanceRecord Gateway::MakeInstanceRecord() const {
  InstanceRecord self;
  self.name = this->settings.instance;
  self.zone = this->settings.zone;
  self.caller_address = this->settings.callers.ToString();
  self.peer_address = this->settings.peers.ToString();
  self.incarnation = RandomHex(kIncarnationBytes);
  self.capacity =
      InstanceCapacity(this->settings.cores, this->settings.link_mbps);
  return self;
}

void Gateway::AddGauges() {
  this->metrics.AddGauge("requests_in_flight", [this] {
    return static_cast<double>(this->pipeline.InFlight());
  });
  this->metrics.AddGauge("config_version", [this] {
    const auto config = this->fleet.Config();
    return config == nullptr ? 0.0 : static_cast<double>(config->version);
  });
  this->metrics.AddGauge("store_in_contact", [this] {
    return this->watcher.IsStoreReachable() ? 1.0 : 0.0;
  });
  this->metrics.AddGauge("store_led", [this] {
    return this->sync_state.HasLiveRelay() ? 1.0 : 0.0;
  });
  this->metrics.AddGauge("store_behind", [this] {
    return this->sync_state.IsBehind() ? 1.0 : 0.0;
  });
  this->metrics.AddGauge("store_knowledge_age_seconds", [this] {
    return absl::ToDoubleSeconds(this->sync_state.KnowledgeAge());
  });
  this->metrics.AddGauge("instances", [this] {
    return static_cast<double>(this->fleet.Instances().size());
  });
  this->metrics.AddGauge("evacuated_zones", [this] {
    return static_cast<double>(this->fleet.EvacuatedZones().size());
  });
  this->metrics.AddGauge("crashing_parts", [this] {
    return static_cast<double>(
        this->crash_suspects.refused.Count(SuspectKind::kPart));
  });
  this->metrics.AddGauge("crashing_requests", [this] {
    return static_cast<double>(
        this->crash_suspects.refused.Count(SuspectKind::kRequest));
  });
  this->metrics.AddGauge("limited_targets", [this] {
    int limited = 0;
    this->fleet.ForEachTarget([&](const TargetState& target) {
      if (target.RateLimit().Limit().has_value()) limited += 1;
    });
    return static_cast<double>(limited);
  });
  this->metrics.AddGauge("resting_targets", [this] {
    int resting = 0;
    this->fleet.ForEachTarget([&](const TargetState& target) {
      if (target.Rest().IsResting(this->clock.Now())) resting += 1;
    });
    return static_cast<double>(resting);
  });
  this->metrics.AddGauge("isolated_from_targets", [this] {
    return this->paths.IsolatedSince().has_value() ? 1.0 : 0.0;
  });
  this->metrics.AddGauge("caller_connections", [this] {
    return static_cast<double>(this->caller_connections.Open());
  });
  this->metrics.AddGauge("caller_buffer_bytes", [this] {
    return static_cast<double>(this->caller_buffers.Bytes());
  });
  this->metrics.AddGauge("received_response_bytes", [this] {
    return static_cast<double>(this->caller_buffers.ReceivedBytes());
  });
  this->metrics.AddGauge("request_body_bytes", [this] {
    return static_cast<double>(this->request_bodies.Bytes());
  });
  this->metrics.AddGauge("request_head_bytes", [this] {
    return static_cast<double>(this->request_heads.Bytes());
  });
  this->metrics.AddGauge("prompt_parts_known", [this] {
    return static_cast<double>(this->prompt_caches.Parts());
  });
  this->metrics.AddGauge("tunnels_busy", [this] {
    return static_cast<double>(this->tunnel_server.Busy());
  });
  this->metrics.AddGauge("holds_placing_duty", [this] {
    return this->leader_lease.MayIssueOrders() ? 1.0 : 0.0;
  });
  this->metrics.AddGauge("log_lines_dropped", [this] {
    return static_cast<double>(this->log.Dropped());
  });
}

Status Gateway::Run() {
  if (!this->listeners.BindStatus().Ok()) return this->listeners.BindStatus();
  this->tasks.SpawnWithRestart("accept callers",
                               [this] { return this->AcceptCallers(); });
  this->ServeEndpoint(
      "readiness", this->listeners.readiness, this->readiness_connections,
      [this](std::string_view path) { return this->HandleReadiness(path); });
  this->ServeEndpoint(
      "directory", this->listeners.directory, this->directory_connections,
      [this](std::string_view path) { return this->HandleDirectory(path); });
  this->ServeEndpoint(
      "metrics", this->listeners.metrics, this->metrics_connections,
      [this](std::string_view path) { return this->HandleMetrics(path); });
  this->tasks.SpawnWithRestart("accept tunnels", [this] {
    return this->tunnel_server.Accept(this->listeners.tunnels);
  });
  this->tasks.SpawnWithRestart("watch the loop",
                               [this] { return this->loop_watch.Run(); });
  this->tasks.SpawnWithRestart("receive peers",
                               [this] { return this->channel.Receive(); });
  this->tasks.SpawnWithRestart(
      "ask followers", [this] { return this->relay.QueryRelaysWhileStale(); });
  this->tasks.SpawnWithRestart(
      "send parts", [this] { return this->relay.SendRequestedParts(); });
  this->tasks.SpawnWithRestart("request parts", [this] {
    return this->relay.RequestPartsWhileMissing();
  });
  this->tasks.SpawnWithRestart("report",
                               [this] { return this->channel.Report(); });
  this->tasks.SpawnWithRestart("record spending",
                               [this] { return this->spend_recorder.Run(); });
  this->tasks.Spawn("find earlier versions", this->earlier_versions.Run());
  this->tasks.SpawnWithRestart("record versions",
                               [this] { return this->version_recorder.Run(); });
  this->tasks.SpawnWithRestart("maintain crash records", [this] {
    return this->crash_suspects.refused.MaintainRecords();
  });
  this->tasks.SpawnWithRestart("place models",
                               [this] { return this->placement.Run(); });
  this->tasks.SpawnWithRestart(
      "read prompt caches", [this] { return this->prompt_cache_reader.Run(); });
  // A write to a connection that the peer has closed must not end the process.
  signal(SIGPIPE, SIG_IGN);
  this->tasks.SpawnWithRestart("wait for signals",
                               [this] { return this->WaitForSignal(); });
  this->tasks.SpawnWithRestart("follow store",
                               [this] { return this->watcher.Run(); });
  this->tasks.SpawnWithRestart("register",
                               [this] { return this->registration.Run(); });
  this->log.Write("process", "started",
                  {{"callers", this->settings.callers.ToString()},
                   {"store", this->settings.store.ToString()}});
  this->tasks.RunLoop();
  // The context is destroyed after all parts. Destructors of locals in the
  // coroutines that it still holds would then reach parts that are gone, and a
  // stopping process could crash or stay in a loop for ever.
  this->context.DestroyTasks();
  return Done{};
}

void Gateway::ServeEndpoint(std::string_view name, Acceptor& acceptor,
                            ConnectionLimit& connections,
                            QueryHandler handler) {
  this->tasks.SpawnWithRestart(
      name, [this, &acceptor, &connections, handler = std::move(handler)] {
        return this->AcceptQueries(acceptor, connections, handler);
      });
}

// Failure: a crowd of callers has all descriptors, and there is none for
// others, nor for connections to the store and to targets.
asio::awaitable<Gateway::Socket> Gateway::Accept(Acceptor& acceptor,
                                                 ConnectionLimit& connections) {
  while (true) {
    error_code error;
    Socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Sleep(this->context, kAcceptRetryDelay);
    } else if (connections.MakeRoom()) {
      co_return socket;
    } else {
      this->metrics.Count("connections_refused");
    }
  }
}

asio::awaitable<void> Gateway::AcceptCallers() {
  while (true) {
    Socket socket = co_await this->Accept(this->listeners.callers,
                                          this->caller_connections);
    this->tasks.Spawn("serve caller", this->ServeCaller(std::move(socket)));
  }
}

asio::awaitable<void> Gateway::AcceptQueries(Acceptor& acceptor,
                                             ConnectionLimit& connections,
                                             QueryHandler handler) {
  while (true) {
    Socket socket = co_await this->Accept(acceptor, connections);
    this->tasks.Spawn(
        "answer questions",
        this->ServeQueries(std::move(socket), connections, handler));
  }
}

CallerResources Gateway::MakeCallerResources(ConnectionLimit& connections) {
  return {connections, this->request_heads, this->request_bodies,
          this->caller_buffers};
}

CallerLimits Gateway::CurrentLimits() const {
  const auto config = this->fleet.Config();
  return config == nullptr ? CallerLimits() : config->limits;
}

asio::awaitable<void> Gateway::ServeCaller(Socket socket) {
  CallerConnection connection(
      this->context, std::move(socket),
      [this] { return this->CurrentLimits(); },
      this->MakeCallerResources(this->caller_connections), this->clock);
  const int requests = co_await this->ServeRequests(connection);
  this->RecordConnectionEnd(connection, requests);
}

void Gateway::RecordConnectionEnd(const CallerConnection& connection,
                                  int requests) {
  const std::string_view why =
      connection.EndReason().empty() ? "served" : connection.EndReason();
  this->metrics.Count("caller_connections_ended",
                      fmt::format("why=\"{}\"", why));
  const auto config = this->fleet.Config();
  this->log.Write("connection", "ended",
                  {{"why", why},
                   {"requests", requests},
                   {"answered", requests == 0 || connection.Responded()},
                   {"idle_ms", connection.IdleTime()},
                   {"timer_late_ms", connection.TimerLateness()},
                   {"config", config == nullptr ? 0 : config->version}});
}

asio::awaitable<int> Gateway::ServeRequests(CallerConnection& connection) {
  int requests = 0;
  while (true) {
    ReadResult read = co_await connection.Read();
    if (std::holds_alternative<CallerDisconnected>(read)) co_return requests;
    requests += 1;
    co_await this->ServeRequest(connection, std::move(read));
    if (connection.IsDisconnected()) co_return requests;
    if (!connection.KeepAlive()) {
      co_await connection.CloseGracefully();
      co_return requests;
    }
  }
}

asio::awaitable<void> Gateway::ServeRequest(CallerConnection& connection,
                                            ReadResult read) {
  int error_status = 400;
  if (std::holds_alternative<HeadRefused>(read)) {
    co_await this->pipeline.RefuseHead(connection);
    co_return;
  }
  auto* refused = std::get_if<BodyRefused>(&read);
  auto* received = refused != nullptr ? &refused->request
                                      : std::get_if<ReceivedRequest>(&read);
  if (received != nullptr) {
    received->head.method = received->method;
    received->head.path_and_query = received->path_and_query;
    Result<CallerRequest> request = this->wire.decode_request(received->head);
    // The request has what is needed of it for as long as it is served.
    received->head = {};
    if (request.Ok() && refused != nullptr) {
      co_await this->pipeline.RefuseBody(std::move(request.Value()),
                                         refused->bytes, connection);
      co_return;
    }
    if (request.Ok()) {
      request.Value().body = std::move(received->body);
      connection.SetKeepAlive(connection.KeepAlive() && !this->stopping);
      co_await this->pipeline.Serve(std::move(request.Value()), connection);
      co_return;
    }
  } else if (const auto* malformed = std::get_if<MalformedRequest>(&read)) {
    error_status = malformed->status;
  }
  this->metrics.Count("malformed_requests");
  connection.SetKeepAlive(false);
  co_await connection.WriteResponse(error_status, {}, "");
}

asio::awaitable<void> Gateway::ServeQueries(Socket socket,
                                            ConnectionLimit& connections,
                                            QueryHandler handler) {
  CallerConnection connection(
      this->context, std::move(socket), [] { return CallerLimits(); },
      this->MakeCallerResources(connections), this->clock);
  while (true) {
    const ReadResult read = co_await connection.Read();
    const auto* received = std::get_if<ReceivedRequest>(&read);
    if (received == nullptr) co_return;
    const PlainResponse response = handler(received->path_and_query);
    HeaderFields fields;
    fields.emplace_back("Content-Type", response.content_type);
    const bool written = co_await connection.WriteResponse(
        response.status, std::move(fields), response.body);
    if (!written || !connection.KeepAlive()) co_return;
  }
}

Gateway::PlainResponse Gateway::HandleReadiness(std::string_view path) const {
  if (!this->wire.is_readiness_check(path)) return {};
  const bool ready = this->fleet.Config() != nullptr && !this->stopping;
  return {ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready"};
}

Gateway::PlainResponse Gateway::HandleDirectory(std::string_view path) const {
  if (!this->wire.decode_directory_query(path).has_value()) return {};
  const std::string own = this->settings.callers.ToString();
  std::vector<std::string> addresses;
  for (const InstanceRecord* record : this->fleet.ListedInstances()) {
    if (record->caller_address == own && this->stopping) continue;
    addresses.push_back(record->caller_address);
  }
  // If no instance is known, e.g. before the store's first response, the best
  // choice for callers is the instance that they have reached.
  if (addresses.empty() && !this->stopping) addresses.push_back(own);
  if (addresses.size() > kMaxDirectoryAddresses) {
    std::mt19937 random{std::random_device{}()};
    std::shuffle(addresses.begin(), addresses.end(), random);
    addresses.resize(kMaxDirectoryAddresses);
  }
  return {200, "application/json",
          this->wire.encode_directory_response(addresses,
                                               this->settings.directory_keep)};
}

Gateway::PlainResponse Gateway::HandleMetrics(std::string_view path) const {
  if (path.substr(0, path.find('?')) != "/metrics") return {};
  return {200, "text/plain; version=0.0.4", this->metrics.Text()};
}

asio::awaitable<void> Gateway::WaitForSignal() {
  while (true) {
    error_code error;
    const int received = co_await this->signals.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    if (received == SIGHUP) {
      this->Reload();
    } else {
      this->Stop();
    }
  }
}

void Gateway::Reload() {
  const Result<GatewaySettings> newer = this->reread();
  if (!newer.Ok()) {
    this->log.Write("process", "reload refused",
                    {{"why", newer.Error().ToString()}});
    return;
  }
  const bool needs_restart =
      ApplyReloadableSettings(newer.Value(), this->settings);
  this->quotas.SetTolerance(this->settings.quota_allowance);
  this->log.Write("process", "reloaded", {{"needs_restart", needs_restart}});
}

void Gateway::Stop() {
  if (this->stopping) return;
  this->stopping = true;
  if (this->on_stopping) this->on_stopping(this->settings.stop_within);
  this->tasks.Spawn("stop", this->Shutdown());
}

asio::awaitable<void> Gateway::Shutdown() {
  const Instant start = this->clock.Now();
  this->log.Write("process", "stopping",
                  {{"in_flight", this->pipeline.InFlight()}});
  this->pipeline.BeginShutdown(start + this->settings.stop_within -
                               kStopMargin);
  this->tunnel_server.BeginShutdown();
  this->tasks.Spawn("leave", this->registration.Leave());
  // Callers keep sending requests until their cached list of instances expires.
  // After that, the process ends as soon as no request is in progress.
  const absl::Duration max_shutdown_time =
      this->settings.stop_within - kStopMargin;
  const absl::Duration cache_time =
      std::min(max_shutdown_time,
               kMaxDirectoryCacheFactor * this->settings.directory_keep);
  while (true) {
    const absl::Duration elapsed = this->clock.Now() - start;
    if (elapsed >= max_shutdown_time) break;
    const bool idle =
        this->pipeline.InFlight() == 0 && this->tunnel_server.Busy() == 0;
    if (elapsed >= cache_time && idle) break;
    co_await Sleep(this->context, kStopPollInterval);
  }
  this->log.Write("process", "stopped",
                  {{"in_flight", this->pipeline.InFlight()},
                   {"after_ms", this->clock.Now() - start}});
  this->context.stop();
}

}  // namespace dragonflyglade::gateway
