#include "dragonflyglade/gateway/target_statements.h"

#include <memory>

namespace dragonflyglade::gateway {

TargetStatements::TargetStatements(FleetState& fleet, FleetChannel& channel,
                                   std::string self, Metrics& metrics,
                                   EventLog& log, Clock clock)
    : fleet(fleet),
      channel(channel),
      self(std::move(self)),
      metrics(metrics),
      log(log),
      clock(std::move(clock)) {
  this->channel.OnRestNote(
      [this](const wire::TargetRestNote& note) { this->ReceiveNote(note); });
}

void TargetStatements::RecordHead(TargetState& target, std::string_view peer,
                                  const ResponseHead& head) {
  if (!head.unreadable_rest.empty()) {
    this->metrics.Count("unreadable_target_rests");
    this->log.Write(
        "targets", "rest unreadable",
        {{"target", target.Record().id}, {"value", head.unreadable_rest}});
  }
  if (head.leaving) this->RecordLeaving(target);
  if (head.rest.has_value()) this->RecordRest(target, peer, *head.rest);
}

void TargetStatements::RecordLeaving(TargetState& target) {
  if (!target.RecordSaidLeaving()) return;
  this->metrics.Count("targets_said_leaving");
  this->log.Write("targets", "says that it leaves",
                  {{"target", target.Record().id}});
  this->channel.ReportStatementChange();
  this->fleet.Changed().Notify();
}

// This instance rests also if the target asked another one: to send the request
// over the next path would get round what the target asked for.
void TargetStatements::RecordRest(TargetState& target, std::string_view peer,
                                  absl::Duration time) {
  if (time <= absl::ZeroDuration()) return;
  this->metrics.Count("target_rests",
                      peer.empty() ? "path=\"own\"" : "path=\"tunnel\"");
  this->RecordOwnRest(target, peer, time);
  if (peer.empty()) return;
  this->RecordPeerRest(peer, target, time);
  this->SendNote(target, peer, peer, time);
}

void TargetStatements::RecordOwnRest(TargetState& target, std::string_view peer,
                                     absl::Duration time) {
  if (!target.Rest().Record(time, this->clock.Now())) return;
  this->log.Write(
      "targets", "asks for rest",
      {{"target", target.Record().id}, {"rest_ms", time}, {"peer", peer}});
  if (this->on_rest) this->on_rest(target);
}

void TargetStatements::RecordPeerRest(std::string_view peer,
                                      const TargetState& target,
                                      absl::Duration time) {
  const Instant now = this->clock.Now();
  std::erase_if(this->peer_rests, [now](const auto& entry) {
    return !entry.second.IsResting(now);
  });
  const PeerAndTarget key(peer, target.Record().id);
  this->peer_rests[key].Record(time, now);
}

absl::Duration TargetStatements::RestOf(const TargetState& target) const {
  return target.Rest().Remaining(this->clock.Now());
}

absl::Duration TargetStatements::PeerRestOf(std::string_view peer,
                                            const TargetState& target) const {
  const auto found = this->peer_rests.find(
      PeerAndTarget(std::string(peer), target.Record().id));
  if (found == this->peer_rests.end()) return absl::ZeroDuration();
  return found->second.Remaining(this->clock.Now());
}

void TargetStatements::SendOwnRest(const TargetState& target,
                                   std::string_view instance) {
  this->SendNote(target, instance, this->self, this->RestOf(target));
}

void TargetStatements::SendNote(const TargetState& target, std::string_view to,
                                std::string_view resting, absl::Duration time) {
  const auto instance = this->fleet.Instances().find(to);
  if (instance == this->fleet.Instances().end()) return;
  wire::TargetRestNote note;
  note.target = target.Record().id;
  note.born_ms = target.Record().born_ms;
  note.rest_ms = absl::ToInt64Milliseconds(time);
  note.instance = std::string(resting);
  wire::FleetMessage message;
  message.__set_rest_note(std::move(note));
  this->channel.Send(message, instance->second.peer_address);
}

void TargetStatements::ReceiveNote(const wire::TargetRestNote& note) {
  const std::shared_ptr<TargetState> target = this->fleet.Target(note.target);
  if (target == nullptr || target->Record().born_ms != note.born_ms) return;
  const absl::Duration time = absl::Milliseconds(note.rest_ms);
  if (note.instance == this->self) {
    this->RecordOwnRest(*target, "", time);
    return;
  }
  this->RecordPeerRest(note.instance, *target, time);
  target->tunnels.Clear();
}

}  // namespace dragonflyglade::gateway
