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

constexpr absl::Duration kAuditPeriod = absl::Seconds(1);
constexpr absl::Duration kDemandMemory = absl::Seconds(15);
constexpr absl::Duration kLoadPeriod = absl::Milliseconds(500);
constexpr absl::Duration kDrainPoll = absl::Milliseconds(20);
constexpr absl::Duration kClaimFlushLimit = absl::Seconds(5);
constexpr absl::Duration kShareReleaseLimit = absl::Seconds(3);
constexpr absl::Duration kListTimeout = absl::Seconds(1);
constexpr double kRetryShare = 0.1;
constexpr double kRetryReserve = 10;
constexpr double kFullLoad = 1000;

MemberStatus SelfOf(const Settings& settings) {
  MemberStatus self;
  self.info = MemberInfo{settings.name, settings.peer_listen.address,
                         settings.peer_listen.port, settings.caller_listen.port,
                         settings.zone};
  self.incarnation = absl::ToUnixMicros(absl::Now());
  return self;
}

}  // namespace

// The order of the members is the order of construction: what is used stands
// before its users, and is destroyed after them.
struct Instance::Parts {
  explicit Parts(Settings given)
      : settings(std::move(given)),
        self(SelfOf(settings)),
        seed(static_cast<std::uint64_t>(self.incarnation) ^
             StableHash(settings.name)),
        kv(settings.kv),
        lists(settings.lists, kListTimeout),
        membership(self, settings.membership, clock, seed),
        shares(settings.name, self.incarnation, settings.shares, clock),
        records(WhyInvalid),
        freshness(settings.fresh_bound, clock),
        targets(settings.targets, clock, seed),
        demand(kDemandMemory, clock),
        audit(kv, settings.name),
        peers(settings.peers, clock),
        heartbeats(
            membership, shares, records, freshness, targets,
            [this](const MemberStatus& newer) {
              this->follower.PullFrom(newer);
            },
            clock),
        heartbeat_loop(membership, heartbeats, peers, clock),
        gate(shares, membership, peers),
        dispatcher(targets, settings.dispatch, clock),
        retries(kRetryShare, kRetryReserve),
        claims(kv, settings.claim_keep, clock),
        completions(gate, dispatcher, targets, registry, catalog, demand,
                    retries, metrics, settings.limits, settings.target_calls,
                    settings.zone, clock),
        services(gate, dispatcher, claims, retries, metrics, settings.limits,
                 settings.target_calls, settings.zone, clock),
        handler(catalog, freshness, membership, completions, services, metrics,
                settings.limits, settings.keep),
        callers(settings.caller_listen, handler, metrics, settings.threads),
        follower(
            kv, peers, membership, records, freshness, catalog,
            FollowerOptions{settings.periods.config_reread,
                            2 * settings.periods.config_reread,
                            settings.config_relays},
            [this](const std::shared_ptr<const Catalog>& newest) {
              this->Follow(newest);
            },
            clock),
        keeper(
            kv, peers, membership, shares, catalog, audit,
            settings.periods.allotments,
            settings.shares.max_reservation_wait + settings.shares.min_hold,
            [this](const MemberStatus& member) {
              return this->heartbeat_loop.ExchangeHeartbeats(member);
            },
            clock),
        placement(kv, peers, membership, targets, catalog, demand, audit,
                  settings.target_calls, settings.placement, clock),
        poller(lists, targets, catalog, settings.target_calls,
               settings.periods.lists, settings.periods.reports),
        peer_server(settings.peer_listen, heartbeats, membership, shares,
                    records, freshness, demand,
                    [this](std::string_view name) {
                      const auto member = this->membership.Find(name);
                      return member.has_value() &&
                             this->heartbeat_loop.ExchangeHeartbeats(*member);
                    }),
        operators(settings.operator_listen,
                  [this] { return this->ReadStatus(); }),
        list_worker([this] { return this->ListRound(); }),
        audit_worker([this] {
          const auto flushed = this->audit.Flush();
          if (!flushed.Ok()) {
            LogFor(LogPart::kOperator).debug("{}.", flushed.Error().ToString());
          }
          return kAuditPeriod;
        }),
        load_worker([this] {
          const double load =
              this->callers.Active() * kFullLoad / this->settings.threads;
          this->membership.SetLoad(
              std::min(static_cast<int>(kFullLoad), static_cast<int>(load)));
          this->targets.SetInstanceCount(
              static_cast<int>(this->membership.ActiveNames().size()));
          return kLoadPeriod;
        }) {}

  void Follow(const std::shared_ptr<const Catalog>& newest);
  absl::Duration ListRound();
  nlohmann::json ReadStatus() const;
  bool HoldsShares() const;
  void AddGauges();

  const Settings settings;
  const Clock clock{SteadyClock{}};
  const MemberStatus self;
  const std::uint64_t seed;
  const KvClient kv;
  const DiscoveryClient lists;
  Metrics metrics;
  Membership membership;
  DistributedRateLimiter shares;
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
  PeriodicWorker list_worker;
  PeriodicWorker audit_worker;
  PeriodicWorker load_worker;
  std::set<std::string> rated;  ///< workspaces with a rate; follower's thread
  std::atomic<bool> stopped{false};
};

// Brings a new configuration into force. Called by one thread at a time.
void Instance::Parts::Follow(const std::shared_ptr<const Catalog>& newest) {
  std::set<std::string> now_rated;
  for (const auto& [workspace, rate] : newest->rates) {
    this->shares.SetRate(workspace, rate.limit);
    now_rated.insert(workspace);
  }
  for (const std::string& workspace : this->rated) {
    if (now_rated.count(workspace) == 0) {
      this->shares.SetRate(workspace, std::nullopt);
    }
  }
  this->rated = std::move(now_rated);
  for (const auto& [workspace, allotment] : newest->allotments) {
    this->shares.ApplyAllotment(allotment);
  }
  for (const std::string& key_id : this->registry.KeysInUse()) {
    const KeyRecord* key = FindRecord(newest->keys, key_id);
    if (key != nullptr && !key->withdrawn) continue;
    const std::size_t ended = this->registry.EndAll(key_id);
    LogFor(LogPart::kCaller)
        .info("Ended {} calls of withdrawn key {}.", ended, key_id);
  }
  this->heartbeat_loop.PropagateUpdates();
}

absl::Duration Instance::Parts::ListRound() {
  const Result<InstanceList> list = this->lists.FetchInstances();
  if (list.Ok()) {
    this->membership.ApplyInstanceList(list.Value());
  } else {
    LogFor(LogPart::kStore).debug("{}.", list.Error().ToString());
  }
  return this->settings.periods.lists;
}

nlohmann::json Instance::Parts::ReadStatus() const {
  return InstanceStatus(
      StatusSources{this->membership, this->records, this->freshness,
                    this->targets, this->shares, this->catalog, this->metrics,
                    this->follower.IsRelay(), this->dispatcher.Waiting()});
}

bool Instance::Parts::HoldsShares() const {
  const std::shared_ptr<const Catalog> catalog = this->catalog.Get();
  for (const auto& [workspace, allotment] : catalog->allotments) {
    for (const OwnerShare& holder : allotment.owners) {
      if (holder.instance == this->settings.name &&
          holder.incarnation == this->self.incarnation) {
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

  p.list_worker.Start();
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

// Failure: callers keep a which-instance answer for a while and connect by
// themselves, so one that stops listening at once turns them away although
// its siblings could serve them. Leaving is announced first, and everything
// that comes within the keep time is still served.
void Instance::Drain() {
  Parts& p = *this->parts;
  LogFor(LogPart::kInstance).info("Draining.");
  p.audit.Add("instance drain", p.settings.name, nlohmann::json::object());
  p.membership.Leave();
  p.placement.Stop();
  p.heartbeat_loop.PropagateUpdates();
  p.callers.CloseAfterResponses();
  const Instant start = p.clock.Now();
  const Instant limit = start + p.settings.drain_limit;
  const Instant keep_until = std::min(limit, start + p.settings.keep);
  while (p.clock.Now() < keep_until) absl::SleepFor(kDrainPoll);
  const auto busy = [&p] {
    return p.callers.Active() > 0 || p.completions.Running() > 0;
  };
  while (busy() && p.clock.Now() < limit) absl::SleepFor(kDrainPoll);
  // The keeper takes the shares of a leaving instance away; waiting for that
  // lets the others grow at once instead of after the list's lag.
  const Instant share_limit =
      std::min(limit, p.clock.Now() + kShareReleaseLimit);
  while (p.HoldsShares() && p.clock.Now() < share_limit) {
    absl::SleepFor(kDrainPoll);
  }
  p.claims.Flush(std::min(kClaimFlushLimit, limit - p.clock.Now()));
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
  p.list_worker.Stop();
  p.audit_worker.Stop();
  p.load_worker.Stop();
  p.operators.Stop();
  p.peer_server.Stop();
}

nlohmann::json Instance::StatusJson() const {
  return this->parts->ReadStatus();
}

}  // namespace dragonflyglade
