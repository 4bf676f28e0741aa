#include "dragonflyglade/peer/heartbeat_loop.h"

#include "dragonflyglade/net/log.h"

namespace dragonflyglade {
namespace {

constexpr std::size_t kHelpers = 2;
constexpr std::size_t kNewsFanout = 3;

}  // namespace

HeartbeatLoop::HeartbeatLoop(Membership& membership,
                             HeartbeatExchange& heartbeats, PeerClient& peers,
                             Clock clock)
    : membership(membership),
      heartbeats(heartbeats),
      peers(peers),
      clock(clock),
      worker([this] { return this->Round(); }),
      news([this] {
        if (this->has_news.exchange(false)) {
          for (const MemberStatus& member :
               this->membership.SampleAlive(kNewsFanout, "")) {
            this->ExchangeHeartbeats(member);
          }
        }
        return absl::InfiniteDuration();
      }) {}

void HeartbeatLoop::Start() {
  this->worker.Start();
  this->news.Start();
}

void HeartbeatLoop::Stop() {
  this->worker.Stop();
  this->news.Stop();
}

void HeartbeatLoop::PropagateUpdates() {
  this->has_news = true;
  this->news.Wake();
}

bool HeartbeatLoop::ExchangeHeartbeats(const MemberStatus& member) {
  const Instant asked_at = this->clock.Now();
  const Result<wire::Heartbeat> reply = this->peers.Exchange(
      PeerEndpoint(member), this->heartbeats.Make(member.info.name));
  if (!reply.Ok()) return false;
  // Another process may have taken over the address.
  if (reply.Value().sender.name != member.info.name) return false;
  this->heartbeats.Take(reply.Value(), asked_at);
  return true;
}

bool HeartbeatLoop::AnswersThroughOthers(std::string_view name) {
  for (const MemberStatus& helper :
       this->membership.SampleAlive(kHelpers, name)) {
    const Result<bool> answer = this->peers.Probe(PeerEndpoint(helper), name);
    if (answer.Ok() && answer.Value()) return true;
  }
  return false;
}

absl::Duration HeartbeatLoop::Round() {
  this->membership.Tick();
  const absl::Duration period = this->membership.Period();
  const std::optional<MemberStatus> next = this->membership.NextToProbe();
  if (!next.has_value()) return period;
  if (this->ExchangeHeartbeats(*next)) return period;
  if (this->AnswersThroughOthers(next->info.name)) return period;
  if (next->state == MemberState::kAlive) {
    LogFor(LogPart::kPeer).info("No answer from {}.", next->info.name);
  }
  this->membership.ReportProbeFailure(next->info.name);
  return period;
}

}  // namespace dragonflyglade
