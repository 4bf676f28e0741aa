#include "dragonflyglade/peer/heartbeat.h"

#include <utility>

#include "dragonflyglade/peer/peer_codec.h"

namespace dragonflyglade {
namespace {

constexpr std::size_t kMaxBalancesPerHeartbeat = 16;
constexpr std::int64_t kNeverConfirmed = -1;

}  // namespace

Endpoint PeerEndpoint(const MemberStatus& member) {
  return Endpoint{member.info.address, member.info.peer_port};
}

HeartbeatExchange::HeartbeatExchange(Membership& membership,
                                     DistributedRateLimiter& shares,
                                     RecordStore& records,
                                     ConfigFreshness& freshness,
                                     TargetRegistry& targets,
                                     OnNewerConfig on_newer, Clock clock)
    : membership(membership),
      shares(shares),
      records(records),
      freshness(freshness),
      targets(targets),
      on_newer(std::move(on_newer)),
      clock(clock) {}

wire::Heartbeat HeartbeatExchange::MakeHeartbeat(std::string_view to) {
  wire::Heartbeat heartbeat;
  heartbeat.sender = ToWire(this->membership.Self());
  for (const MemberStatus& update : this->membership.UpdatesFor(to)) {
    heartbeat.updates.push_back(ToWire(update));
  }
  // The age is read before the revision, so if a record arrives in between, the
  // configuration is reported as older than it is, never as newer.
  const absl::Duration age = this->freshness.Age();
  heartbeat.config_age_ms = age == absl::InfiniteDuration()
                                ? kNeverConfirmed
                                : absl::ToInt64Milliseconds(age) + 1;
  heartbeat.config_revision = this->records.CompleteRevision();
  for (const WorkspaceBalance& balance :
       this->shares.Balances(kMaxBalancesPerHeartbeat)) {
    heartbeat.balances.push_back(ToWire(balance));
  }
  for (const auto& [target, mark_age] : this->targets.LeavingTargets()) {
    wire::TargetMark mark;
    mark.target = target;
    mark.age_ms =
        static_cast<std::int32_t>(absl::ToInt64Milliseconds(mark_age));
    heartbeat.leaving_targets.push_back(mark);
  }
  return heartbeat;
}

void HeartbeatExchange::ApplyHeartbeat(const wire::Heartbeat& heartbeat,
                                       std::optional<Instant> sent_at) {
  const MemberStatus sender = FromWire(heartbeat.sender);
  std::vector<MemberStatus> updates;
  updates.reserve(heartbeat.updates.size());
  for (const wire::MemberUpdate& update : heartbeat.updates) {
    updates.push_back(FromWire(update));
  }
  this->membership.Receive(sender, updates);
  for (const wire::Balance& balance : heartbeat.balances) {
    this->shares.ReceiveBalance(sender.info.name, FromWire(balance));
  }
  for (const wire::TargetMark& mark : heartbeat.leaving_targets) {
    this->targets.MarkLeaving(mark.target, absl::Milliseconds(mark.age_ms));
  }
  const std::int64_t own_revision = this->records.CompleteRevision();
  if (heartbeat.config_revision > own_revision) {
    this->on_newer(sender);
    return;
  }
  // Failure: a heartbeat waits in the socket buffer of a paused process and is
  // read minutes later. If its configuration age were counted from then, an
  // outdated configuration would look fresh. So the age is used only in a
  // response to this instance's own heartbeat, and counted from the time at
  // which that one was sent.
  if (!sent_at.has_value()) return;
  if (heartbeat.config_age_ms == kNeverConfirmed) return;
  this->freshness.MarkCurrentAt(*sent_at -
                                absl::Milliseconds(heartbeat.config_age_ms));
}

}  // namespace dragonflyglade
