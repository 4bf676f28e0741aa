#include "dragonflyglade/peer/heartbeat_loop.h"

#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

constexpr std::size_t kIndirectProbes = 2;
constexpr std::size_t kUpdateFanout = 3;

}  // namespace

HeartbeatLoop::HeartbeatLoop(Membership& membership,
                             HeartbeatExchange& heartbeats, PeerClient& peers,
                             Clock clock)
    : membership(membership),
      heartbeats(heartbeats),
      peers(peers),
      clock(clock),
      worker([this] { return this->ProbeNextMember(); }),
      update_worker([this] {
        if (this->update_pending.exchange(false)) {
          for (const MemberStatus& member :
               this->membership.SampleAlive(kUpdateFanout, "")) {
            this->ExchangeHeartbeats(member);
          }
        }
        return absl::InfiniteDuration();
      }) {}

void HeartbeatLoop::Start() {
  this->worker.Start();
  this->update_worker.Start();
}

void HeartbeatLoop::Stop() {
  this->worker.Stop();
  this->update_worker.Stop();
}

void HeartbeatLoop::PropagateUpdates() {
  this->update_pending = true;
  this->update_worker.Wake();
}

bool HeartbeatLoop::ExchangeHeartbeats(const MemberStatus& member) {
  const Instant sent_at = this->clock.Now();
  const Result<wire::Heartbeat> reply = this->peers.Exchange(
      PeerEndpoint(member), this->heartbeats.MakeHeartbeat(member.info.name));
  if (!reply.Ok()) return false;
  // The address may belong to the process of another instance by now.
  if (reply.Value().sender.name != member.info.name) return false;
  this->heartbeats.ApplyHeartbeat(reply.Value(), sent_at);
  return true;
}

bool HeartbeatLoop::IsReachableThroughPeers(std::string_view name) {
  for (const MemberStatus& prober :
       this->membership.SampleAlive(kIndirectProbes, name)) {
    const Result<bool> reachable =
        this->peers.Probe(PeerEndpoint(prober), name);
    if (reachable.Ok() && reachable.Value()) return true;
  }
  return false;
}

absl::Duration HeartbeatLoop::ProbeNextMember() {
  this->membership.Tick();
  const absl::Duration period = this->membership.Period();
  const std::optional<MemberStatus> next = this->membership.NextToProbe();
  if (!next.has_value()) return period;
  if (this->ExchangeHeartbeats(*next)) return period;
  if (this->IsReachableThroughPeers(next->info.name)) return period;
  if (next->state == MemberState::kAlive) {
    LogFor(LogPart::kPeer)
        .info(
            "Instance {} did not respond, neither directly nor through other "
            "instances.",
            next->info.name);
  }
  this->membership.ReportProbeFailure(next->info.name);
  return period;
}

}  // namespace dragonflyglade
