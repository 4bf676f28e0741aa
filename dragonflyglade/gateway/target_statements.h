#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_STATEMENTS_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_STATEMENTS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/target_state.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Records what targets say of themselves in the heads of their responses, and
/// tells the instances that it binds.
///
/// A target that asks for rest means the instance that it sees. For a request
/// through a tunnel that is the tunnel's instance, which cannot read the
/// response; the one that reads it rests, too, and tells the other one. Used by
/// one event loop.
class TargetStatements {
 public:
  using RestCallback = std::function<void(const TargetState& target)>;

  /// @param self the name of this instance
  TargetStatements(FleetState& fleet, FleetChannel& channel, std::string self,
                   Metrics& metrics, EventLog& log, Clock clock);

  /// Records the head of a target's response.
  /// @param peer the instance whose tunnel the request went through; empty if
  ///   it went through none
  void RecordHead(TargetState& target, std::string_view peer,
                  const ResponseHead& head);

  /// Records for how long another instance sends nothing to a target, not even
  /// through its tunnels.
  void RecordPeerRest(std::string_view peer, const TargetState& target,
                      absl::Duration time);

  /// How long nothing may be sent to the target; zero if it does not rest.
  absl::Duration RestOf(const TargetState& target) const;
  /// How long nothing may be sent to it through another instance's tunnels.
  absl::Duration PeerRestOf(std::string_view peer,
                            const TargetState& target) const;

  /// Whether some target rests from another instance.
  bool AnyPeerRests() const { return !this->peer_rests.empty(); }

  /// Tells an instance that this one may send nothing to the target.
  void SendOwnRest(const TargetState& target, std::string_view instance);

  /// Sets a function that is called when this instance has to let a target
  /// rest.
  void OnRest(RestCallback callback) { this->on_rest = std::move(callback); }

 private:
  void RecordLeaving(TargetState& target);
  void RecordRest(TargetState& target, std::string_view peer,
                  absl::Duration time);
  void RecordOwnRest(TargetState& target, std::string_view peer,
                     absl::Duration time);
  void ReceiveNote(const wire::TargetRestNote& note);
  void SendNote(const TargetState& target, std::string_view to,
                std::string_view resting, absl::Duration time);

  /// Another instance and a target.
  using PeerAndTarget = std::pair<std::string, std::string>;

  FleetState& fleet;
  FleetChannel& channel;
  const std::string self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  std::map<PeerAndTarget, TargetRest> peer_rests;
  RestCallback on_rest;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_STATEMENTS_H_
