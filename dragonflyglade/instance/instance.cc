#include "dragonflyglade/instance/instance.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/caller/caller_server.h"
#include "dragonflyglade/caller/request_handler.h"
#include "dragonflyglade/decision/rendezvous.h"
#include "dragonflyglade/instance/allotment_keeper.h"
#include "dragonflyglade/instance/config_follower.h"
#include "dragonflyglade/instance/instance_status.h"
#include "dragonflyglade/instance/placement_runner.h"
#include "dragonflyglade/operator/audit_trail.h"
#include "dragonflyglade/operator/status_server.h"
#include "dragonflyglade/peer/heartbeat_loop.h"
#include "dragonflyglade/peer/peer_server.h"
#include "dragonflyglade/store/discovery_client.h"
#include "dragonflyglade/target/target_poller.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kAuditFlushPeriod = absl::Seconds(1);
constexpr absl::Duration kDemandRetention = absl::Seconds(15);
constexpr absl::Duration kLoadUpdatePeriod = absl::Milliseconds(500);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kClaimFlushTimeout = absl::Seconds(5);
constexpr absl::Duration kShareReleaseTimeout = absl::Seconds(3);
constexpr absl::Duration kDiscoveryTimeout = absl::Seconds(1);
constexpr double kRetriesPerRequest = 0.1;
constexpr double kMaxAccumulatedRetries = 10;
constexpr double kFullLoadPermille = 1000;

MemberStatus MakeSelfStatus(const Settings& settings) {
  MemberStatus self;
  self.info = MemberInfo{settings.name, settings.peer_listen.address,
                         settings.peer_listen.port, settings.caller_listen.port,
                         settings.zone};
  self.incarnation = absl::ToUnixMicros(absl::Now());
  return self;
}

}  // namespace

// Members are constructed in the order of declaration and destroyed in reverse
// order, so each component is declared before the components that use it.
struct Instance::Parts {
  explicit Parts(Settings given)
      : settings(std::move(given)),
        self(MakeSelfStatus(settings)),
        seed(static_cast<std::uint64_t>(self.incarnation) ^
             StableHash(settings.name)),
        kv(settings.kv),
        discovery(settings.discovery, kDiscoveryTimeout),
        membership(self, settings.membership, clock, seed),
        rate_limiter(settings.name, self.incarnation, settings.rate_limiter,
                     clock),
        records(WhyInvalid),
        freshness(settings.max_config_age, clock),
        targets(settings.targets, clock, seed),
        demand(kDemandRetention, clock),
        audit(kv, settings.name),
        peers(settings.peers, clock),
        heartbeats(
            membership, rate_limiter, records, freshness, targets,
            [this](const MemberStatus& newer) {
              this->follower.SchedulePull(newer);
            },
            clock),
        heartbeat_loop(membership, heartbeats, peers, clock),
        gate(rate_limiter, membership, peers),
        dispatcher(targets, settings.dispatch, clock),
        retries(kRetriesPerRequest, kMaxAccumulatedRetries),
        claims(kv, settings.claim_retention, clock),
        completions(gate, dispatcher, targets, registry, catalog, demand,
                    retries, metrics, settings.limits, settings.target_calls,
                    settings.zone, clock),
        services(gate, dispatcher, claims, retries, metrics, settings.limits,
                 settings.target_calls, settings.zone, clock),
        handler(catalog, freshness, membership, completions, services, metrics,
                settings.limits, settings.selection_lifetime),
        callers(settings.caller_listen, handler, metrics, settings.threads),
        follower(
            kv, peers, membership, records, freshness, catalog,
            FollowerOptions{settings.periods.config_reread,
                            2 * settings.periods.config_reread,
                            settings.config_relays},
            [this](const std::shared_ptr<const Catalog>& newest) {
              this->ApplyCatalog(newest);
            },
            clock),
        keeper(
            kv, peers, membership, rate_limiter, catalog, audit,
            settings.periods.allotments,
            settings.rate_limiter.max_reservation_wait +
                settings.rate_limiter.min_hold,
            [this](const MemberStatus& member) {
              return this->heartbeat_loop.ExchangeHeartbeats(member);
            },
            clock),
        placement(kv, peers, membership, targets, catalog, demand, audit,
                  settings.target_calls, settings.placement, clock),
        poller(discovery, targets, catalog, settings.target_calls,
               settings.periods.discovery, settings.periods.reports),
        peer_server(settings.peer_listen, heartbeats, membership, rate_limiter,
                    records, freshness, demand,
                    [this](std::string_view name) {
                      const auto member = this->membership.Find(name);
                      return member.has_value() &&
                             this->heartbeat_loop.ExchangeHeartbeats(*member);
                    }),
        operators(settings.operator_listen,
                  [this] { return this->ReadStatus(); }),
        instance_list_worker([this] { return this->RefreshInstanceList(); }),
        audit_worker([this] {
          const auto flushed = this->audit.Flush();
          if (!flushed.Ok()) {
            LogFor(LogPart::kOperator).debug("{}.", flushed.Error().ToString());
          }
          return kAuditFlushPeriod;
        }),
        load_worker([this] {
          const double load = this->callers.Active() * kFullLoadPermille /
                              this->settings.threads;
          this->membership.SetLoad(std::min(static_cast<int>(kFullLoadPermille),
                                            static_cast<int>(load)));
          this->targets.SetInstanceCount(
              static_cast<int>(this->membership.ActiveNames().size()));
          return kLoadUpdatePeriod;
        }) {}

  void ApplyCatalog(const std::shared_ptr<const Catalog>& newest);
  absl::Duration RefreshInstanceList();
  nlohmann::json ReadStatus() const;
  bool OwnsShares() const;
  void AddGauges();

  const Settings settings;
  const Clock clock{SteadyClock{}};
  const MemberStatus self;
  const std::uint64_t seed;
  const KvClient kv;
  const DiscoveryClient discovery;
  Metrics metrics;
  Membership membership;
  DistributedRateLimiter rate_limiter;
  RecordStore records;
  ConfigFreshness freshness;
  TargetRegistry targets;
  CatalogHolder catalog;
  StreamRegistry registry;
  DemandTracker demand;
  AuditTrail audit;
  PeerClient peers;
  HeartbeatExchange heartbeats;
  HeartbeatLoop heartbeat_loop;
  AdmissionGate gate;
  Dispatcher dispatcher;
  RetryBudget retries;
  ClaimStore claims;
  CompletionRunner completions;
  ServiceRunner services;
  RequestHandler handler;
  CallerServer callers;
  ConfigFollower follower;
  AllotmentKeeper keeper;
  PlacementRunner placement;
  TargetPoller poller;
  PeerServer peer_server;
  StatusServer operators;
  PeriodicWorker instance_list_worker;
  PeriodicWorker audit_worker;
  PeriodicWorker load_worker;
  std::set<std::string>
      rated_workspaces;  ///< workspaces with a rate; see ApplyCatalog
  std::atomic<bool> stopped{false};
};

// Applies a new configuration. ConfigFollower calls this on one thread at a
// time, so `rated_workspaces` needs no lock.
void Instance::Parts::ApplyCatalog(
    const std::shared_ptr<const Catalog>& newest) {
  std::set<std::string> new_rated_workspaces;
  for (const auto& [workspace, rate] : newest->rates) {
    this->rate_limiter.SetRate(workspace, rate.limit);
    new_rated_workspaces.insert(workspace);
  }
  for (const std::string& workspace : this->rated_workspaces) {
    if (new_rated_workspaces.count(workspace) == 0) {
      this->rate_limiter.SetRate(workspace, std::nullopt);
    }
  }
  this->rated_workspaces = std::move(new_rated_workspaces);
  for (const auto& [workspace, allotment] : newest->allotments) {
    this->rate_limiter.ApplyAllotment(allotment);
  }
  for (const std::string& key_id : this->registry.KeysInUse()) {
    const KeyRecord* key = FindRecord(newest->keys, key_id);
    if (key != nullptr && !key->withdrawn) continue;
    const std::size_t ended = this->registry.EndAll(key_id);
    LogFor(LogPart::kCaller)
        .info("Ended {} calls that used the withdrawn key {}.", ended, key_id);
  }
  this->heartbeat_loop.PropagateUpdates();
}

absl::Duration Instance::Parts::RefreshInstanceList() {
  const Result<InstanceList> list = this->discovery.FetchInstances();
  if (list.Ok()) {
    this->membership.ApplyInstanceList(list.Value());
  } else {
    LogFor(LogPart::kStore).debug("{}.", list.Error().ToString());
  }
  return this->settings.periods.discovery;
}

nlohmann::json Instance::Parts::ReadStatus() const {
  return InstanceStatus(StatusSources{
      this->membership, this->records, this->freshness, this->targets,
      this->rate_limiter, this->catalog, this->metrics,
      this->follower.IsRelay(), this->dispatcher.Waiting()});
}

bool Instance::Parts::OwnsShares() const {
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  for (const auto& [workspace, allotment] : catalog->allotments) {
    for (const OwnerShare& owner : allotment.owners) {
      if (owner.instance == this->settings.name &&
          owner.incarnation == this->self.incarnation) {
        return true;
      }
    }
  }
  return false;
}

void Instance::Parts::AddGauges() {
  this->metrics.AddGauge("dragonflyglade_kv_calls", [this] {
    return static_cast<double>(this->kv.CallCount());
  });
  this->metrics.AddGauge("dragonflyglade_peer_calls", [this] {
    return static_cast<double>(this->peers.CallCount());
  });
  this->metrics.AddGauge("dragonflyglade_borrows", [this] {
    return static_cast<double>(this->gate.BorrowAttempts());
  });
  this->metrics.AddGauge("dragonflyglade_config_age_seconds", [this] {
    return absl::ToDoubleSeconds(this->freshness.Age());
  });
  this->metrics.AddGauge("dragonflyglade_waiting_requests", [this] {
    return static_cast<double>(this->dispatcher.Waiting());
  });
}

Instance::Instance(Settings settings)
    : parts(std::make_unique<Parts>(std::move(settings))) {}

Instance::~Instance() { this->Stop(); }

Result<BoundPorts> Instance::Start() {
  Parts& p = *this->parts;
  p.AddGauges();
  BoundPorts ports;
  const Result<int> peer = p.peer_server.Start();
  if (!peer.Ok()) return peer.Error();
  ports.peer = peer.Value();
  const Result<int> caller = p.callers.Start();
  if (!caller.Ok()) return caller.Error();
  ports.caller = caller.Value();
  const Result<int> operators = p.operators.Start();
  if (!operators.Ok()) return operators.Error();
  ports.operators = operators.Value();
  p.membership.SetPorts(ports.peer, ports.caller);

  p.instance_list_worker.Start();
  p.heartbeat_loop.Start();
  p.follower.Start();
  p.keeper.Start();
  p.placement.Start();
  p.poller.Start();
  p.audit_worker.Start();
  p.load_worker.Start();
  p.audit.Add("instance start", p.settings.name, {{"zone", p.settings.zone}});
  LogFor(LogPart::kInstance)
      .info("{} serves callers on {}, peers on {}, operators on {}.",
            p.settings.name, ports.caller, ports.peer, ports.operators);
  return ports;
}

// Failure: callers remember for a while which instance was selected for them
// and connect to it directly. If that instance stopped listening at once, it
// would refuse requests that other instances could serve. It therefore first
// announces that it is leaving, and still serves every request that arrives
// within the lifetime of a selection.
void Instance::Drain() {
  Parts& p = *this->parts;
  LogFor(LogPart::kInstance).info("Draining.");
  p.audit.Add("instance drain", p.settings.name, nlohmann::json::object());
  p.membership.Leave();
  p.placement.Stop();
  p.heartbeat_loop.PropagateUpdates();
  p.callers.CloseAfterResponses();
  const Instant start = p.clock.Now();
  const Instant drain_deadline = start + p.settings.drain_timeout;
  const Instant accept_until =
      std::min(drain_deadline, start + p.settings.selection_lifetime);
  while (p.clock.Now() < accept_until) absl::SleepFor(kDrainPollInterval);
  const auto busy = [&p] {
    return p.callers.Active() > 0 || p.completions.Running() > 0;
  };
  while (busy() && p.clock.Now() < drain_deadline)
    absl::SleepFor(kDrainPollInterval);
  // AllotmentKeeper reassigns the shares of a leaving instance. Waiting for
  // that gives the shares to other instances at once, not only after the
  // instance list is updated.
  const Instant share_deadline =
      std::min(drain_deadline, p.clock.Now() + kShareReleaseTimeout);
  while (p.OwnsShares() && p.clock.Now() < share_deadline) {
    absl::SleepFor(kDrainPollInterval);
  }
  p.claims.Flush(std::min(kClaimFlushTimeout, drain_deadline - p.clock.Now()));
  p.audit.Flush();
  LogFor(LogPart::kInstance).info("Drained.");
  this->Stop();
}

void Instance::Stop() {
  Parts& p = *this->parts;
  if (p.stopped.exchange(true)) return;
  for (const std::string& key_id : p.registry.KeysInUse()) {
    p.registry.EndAll(key_id);
  }
  p.callers.Stop();
  p.keeper.Stop();
  p.placement.Stop();
  p.poller.Stop();
  p.follower.Stop();
  p.heartbeat_loop.Stop();
  p.instance_list_worker.Stop();
  p.audit_worker.Stop();
  p.load_worker.Stop();
  p.operators.Stop();
  p.peer_server.Stop();
}

nlohmann::json Instance::StatusJson() const {
  return this->parts->ReadStatus();
}

}  // namespace dragonflyglade
