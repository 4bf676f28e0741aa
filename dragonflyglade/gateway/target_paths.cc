#include "dragonflyglade/gateway/target_paths.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/gateway/async_condition.h"

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// Longer than the time-out of a connection attempt: a shorter attempt is no
// evidence on the path.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(450);

// Paths that are back may be lost again.
constexpr absl::Duration kUnstableTime = absl::Seconds(5);

// Short beside the time that probes have in a doubt.
constexpr absl::Duration kReviewInterval = absl::Milliseconds(5);
// Behind the time that probes have in a doubt.
constexpr absl::Duration kMaxVerdictTime = absl::Milliseconds(510);

}  // namespace

TargetPaths::TargetPaths(asio::io_context& context, const WireFormat& wire,
                         FleetState& fleet, FleetChannel& channel,
                         TargetStatements& statements, InstanceRecord self,
                         Metrics& metrics, EventLog& log, Tasks& tasks,
                         Clock clock)
    : context(context),
      wire(wire),
      fleet(fleet),
      channel(channel),
      statements(statements),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      tasks(tasks),
      clock(std::move(clock)) {}

TargetReachability& TargetPaths::ReachabilityOf(std::string_view service) {
  const auto found = this->reachability.find(service);
  if (found != this->reachability.end()) return found->second;
  return this->reachability[std::string(service)];
}

Instant TargetPaths::RecordSent(std::string_view service) {
  const Instant now = this->clock.Now();
  this->ReachabilityOf(service).RecordSent(now);
  return now;
}

void TargetPaths::RecordEnded(std::string_view service, Instant sent_at) {
  this->ReachabilityOf(service).RecordEnded(sent_at);
}

void TargetPaths::RecordReceived(std::string_view service) {
  this->ReachabilityOf(service).RecordReceived(this->clock.Now());
}

bool TargetPaths::IsIsolated(std::string_view service) const {
  const auto found = this->reachability.find(service);
  return found != this->reachability.end() && found->second.IsIsolated();
}

std::optional<Instant> TargetPaths::IsolatedSince() const {
  std::optional<Instant> first;
  for (const auto& [service, reachability] : this->reachability) {
    const std::optional<Instant> since = reachability.IsolatedSince();
    if (since.has_value()) first = std::min(first.value_or(*since), *since);
  }
  return first;
}

bool TargetPaths::IsolatedLately() const {
  if (this->IsolatedSince().has_value()) return true;
  return this->last_isolation_end.has_value() &&
         this->clock.Now() - *this->last_isolation_end < kUnstableTime;
}

TargetPath TargetPaths::PathTo(const TargetState& target) {
  const Instant now = this->clock.Now();
  const std::string& service = target.Record().service;
  this->ProbeIfDue(service);
  if (this->ReachabilityOf(service).HasPath(target.Record().id, now)) {
    return DirectPath{};
  }
  const std::vector<TunnelPeerCandidate> candidates = this->PeersFor(target);
  const std::optional<std::size_t> choice =
      this->peers.Choose(candidates, this->self.zone, target.Record().zone,
                         absl::Uniform<double>(this->random, 0, 1),
                         absl::Uniform<double>(this->random, 0, 1), now);
  if (choice.has_value()) {
    const auto peer = this->fleet.Instances().find(candidates[*choice].name);
    return TunnelPath{peer->second.name, peer->second.peer_address};
  }
  // Nothing shows that an own attempt would fail again.
  if (!this->IsIsolated(service)) return DirectPath{};
  return NoPath{};
}

bool TargetPaths::AnyPath(std::string_view service) {
  this->ProbeIfDue(service);
  return !this->IsIsolated(service) ||
         this->peers.AnyUsable(this->Peers(), this->clock.Now());
}

// Instances that get callers are the strong ones; the others serve if none of
// these can be used.
std::vector<TunnelPeerCandidate> TargetPaths::Peers() const {
  std::vector<TunnelPeerCandidate> candidates;
  for (const InstanceRecord* record : this->fleet.ListedInstances()) {
    if (record->name == this->self.name) continue;
    candidates.push_back({record->name, record->zone});
  }
  if (this->peers.AnyUsable(candidates, this->clock.Now())) return candidates;
  candidates.clear();
  for (const auto& [name, record] : this->fleet.Instances()) {
    if (name == this->self.name) continue;
    candidates.push_back({record.name, record.zone});
  }
  return candidates;
}

// Those that may send the target requests.
std::vector<TunnelPeerCandidate> TargetPaths::PeersFor(
    const TargetState& target) const {
  std::vector<TunnelPeerCandidate> candidates = this->Peers();
  std::erase_if(candidates, [&](const TunnelPeerCandidate& peer) {
    return this->statements.PeerRestOf(peer.name, target) >
           absl::ZeroDuration();
  });
  return candidates;
}

absl::Duration TargetPaths::UntilRested(const TargetState& target) {
  const absl::Duration own = this->statements.RestOf(target);
  if (!this->statements.AnyPeerRests()) return own;
  const TargetRecord& record = target.Record();
  const bool has_path = this->ReachabilityOf(record.service)
                            .HasPath(record.id, this->clock.Now());
  if (has_path) return own;
  const std::vector<TunnelPeerCandidate> peers = this->Peers();
  if (peers.empty()) return own;
  absl::Duration first = absl::InfiniteDuration();
  for (const TunnelPeerCandidate& peer : peers) {
    first = std::min(first, this->statements.PeerRestOf(peer.name, target));
  }
  return std::max(own, first);
}

void TargetPaths::RecordConnected(const TargetState& target) {
  const TargetRecord& record = target.Record();
  const bool was_isolated = this->IsIsolated(record.service);
  const std::vector<std::string> ended =
      this->ReachabilityOf(record.service).RecordConnected(record.id);
  for (const std::string& refused : ended) {
    this->channel.ReportConnectionRefused(refused);
  }
  if (was_isolated) this->HandleOwnPath(record);
}

void TargetPaths::HandleOwnPath(const TargetRecord& target) {
  this->last_isolation_end = this->clock.Now();
  this->log.Write("targets", "own path again",
                  {{"service", target.service}, {"target", target.id}});
  for (const auto& each : this->fleet.Targets(target.service)) {
    each->tunnels.Clear();
  }
}

void TargetPaths::RecordConnectFailed(const TargetState& target,
                                      ConnectError error) {
  const TargetRecord& record = target.Record();
  const bool was_isolated = this->IsIsolated(record.service);
  const bool isolated =
      this->ReachabilityOf(record.service)
          .RecordConnectFailed(record.id, error, this->clock.Now(),
                               this->OthersRemain(record.id, record.service));
  if (isolated && !was_isolated) this->HandleIsolation(record.service);
  this->ProbeIfDue(record.service);
  if (!this->ReachabilityOf(record.service).NeedsReview()) return;
  if (!this->reviewed.insert(record.service).second) return;
  // After the probes, whose time begins with the first review.
  this->tasks.Spawn("review paths", this->ReviewDoubt(record.service));
}

bool TargetPaths::OthersRemain(std::string_view failed,
                               std::string_view service) {
  const TargetReachability& known = this->ReachabilityOf(service);
  const auto targets = this->fleet.Targets(service);
  return std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
    const std::string& id = target->Record().id;
    return id != failed && !known.FailedLately(id);
  });
}

asio::awaitable<void> TargetPaths::ReviewDoubt(std::string service) {
  TargetReachability& known = this->ReachabilityOf(service);
  while (known.NeedsReview()) {
    const bool isolated = known.Review(this->clock.Now());
    if (isolated) this->HandleIsolation(service);
    this->ProbeIfDue(service);
    co_await Sleep(this->context, kReviewInterval);
  }
  this->reviewed.erase(service);
}

asio::awaitable<void> TargetPaths::AwaitVerdict(std::string service) {
  const Instant until = this->clock.Now() + kMaxVerdictTime;
  while (this->ReachabilityOf(service).IsInDoubt() &&
         this->clock.Now() < until) {
    co_await Sleep(this->context, kReviewInterval);
  }
}

// What this instance knows of the targets' availability was learned over paths
// that are lost. Idle connections are closed: a request that is written into a
// lost path may have run. The paths to other services may be lost, too.
void TargetPaths::HandleIsolation(std::string_view service) {
  this->metrics.Count("isolations");
  this->log.Write("targets", "no own path",
                  {{"service", service},
                   {"peers", static_cast<int>(this->Peers().size())}});
  for (const auto& each : this->fleet.Targets(service)) {
    each->ForgetUnreachable();
    each->connections.Clear();
  }
  if (this->on_isolated) this->on_isolated(service);
  for (auto& [other, reachability] : this->reachability) {
    const int due = reachability.BeginSuspicionProbes(this->clock.Now());
    this->ProbeTargets(other, due);
  }
}

void TargetPaths::Use(TargetPath path, TargetState& target,
                      TargetExchange& exchange) {
  const auto* tunnel = std::get_if<TunnelPath>(&path);
  const std::string peer = tunnel == nullptr ? "" : tunnel->peer;
  exchange.ObserveHead([this, peer, &target](const ResponseHead& head) {
    this->statements.RecordHead(target, peer, head);
  });
  if (tunnel != nullptr) {
    exchange.UseTunnel(tunnel->address, target.Record().id, this->self.name);
    exchange.ObserveConnect([this, peer, &target](const NotSent* failed) {
      this->RecordTunnel(peer, target, failed);
    });
    return;
  }
  exchange.ObserveConnect([this, &target](const NotSent* failed) {
    if (failed == nullptr) {
      this->RecordConnected(target);
    } else if (failed->connect_error.has_value()) {
      this->RecordConnectFailed(target, *failed->connect_error);
    }
  });
}

void TargetPaths::RecheckBeforeSend(TargetPath path, const TargetState& target,
                                    TargetExchange& exchange) {
  const auto* tunnel = std::get_if<TunnelPath>(&path);
  const std::string peer = tunnel == nullptr ? "" : tunnel->peer;
  exchange.CheckBeforeSend([this, peer, &target] {
    return !target.IsLeaving() &&
           this->statements.RestOf(target) <= absl::ZeroDuration() &&
           this->statements.PeerRestOf(peer, target) <= absl::ZeroDuration();
  });
}

void TargetPaths::RecordTunnel(const std::string& peer,
                               const TargetState& target,
                               const NotSent* failed) {
  const TargetRecord& record = target.Record();
  const bool refused_there = failed != nullptr && !failed->peer_failed &&
                             failed->connect_error == ConnectError::kRefused;
  if (refused_there) {
    const bool was_isolated = this->IsIsolated(record.service);
    this->ReachabilityOf(record.service).RecordRefusedElsewhere(record.id);
    const bool is_isolated = this->IsIsolated(record.service);
    if (was_isolated && !is_isolated) this->HandleOwnPath(record);
  }
  if (failed != nullptr && failed->peer_rest > absl::ZeroDuration()) {
    this->statements.RecordPeerRest(peer, target, failed->peer_rest);
  }
  const bool established = failed == nullptr || !failed->peer_failed;
  if (established) {
    this->peers.RecordConnected(peer);
  } else {
    this->peers.RecordFailed(peer, this->clock.Now());
  }
  this->metrics.Count(
      "tunnels", established ? "result=\"established\"" : "result=\"failed\"");
}

void TargetPaths::ProbeIfDue(std::string_view service) {
  const int due = this->ReachabilityOf(service).BeginProbes(this->clock.Now());
  this->ProbeTargets(service, due);
}

void TargetPaths::ProbeTargets(std::string_view service, int count) {
  if (count == 0) return;
  TargetReachability& known = this->ReachabilityOf(service);
  const auto choice =
      this->ChooseForProbes(service, static_cast<std::size_t>(count));
  for (const std::shared_ptr<TargetState>& target : choice) {
    known.RecordProbe(target->Record().id);
    this->tasks.Spawn("probe path", this->Probe(target));
  }
}

// Rather targets that have not failed, and of these rather ones in different
// availability zones.
std::vector<std::shared_ptr<TargetState>> TargetPaths::ChooseForProbes(
    std::string_view service, std::size_t count) {
  std::vector<std::shared_ptr<TargetState>> failed;
  std::vector<std::shared_ptr<TargetState>> others;
  const TargetReachability& known = this->ReachabilityOf(service);
  for (const auto& target : this->fleet.Targets(service)) {
    const bool has_failed = known.FailedLately(target->Record().id);
    (has_failed ? failed : others).push_back(target);
  }
  auto& choice = others.empty() ? failed : others;
  std::shuffle(choice.begin(), choice.end(), this->random);
  std::set<std::string> zones;
  std::stable_partition(choice.begin(), choice.end(), [&](const auto& target) {
    return zones.insert(target->Record().zone).second;
  });
  if (choice.size() > count) choice.resize(count);
  return choice;
}

asio::awaitable<void> TargetPaths::Probe(std::shared_ptr<TargetState> target) {
  TargetExchange exchange(this->context, target->connections, this->wire,
                          this->clock);
  this->Use(DirectPath{}, *target, exchange);
  co_await exchange.OpenConnection(target->Record().address,
                                   this->clock.Now() + kProbeTimeout);
}

}  // namespace dragonflyglade::gateway
