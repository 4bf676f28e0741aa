#ifndef DRAGONFLYGLADE_GATEWAY_CRASH_MESSAGES_H_
#define DRAGONFLYGLADE_GATEWAY_CRASH_MESSAGES_H_

#include <optional>

#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

// What instances tell each other about crashes of targets, in the messages'
// types and in this program's.

wire::SuspectKind::type ToWire(SuspectKind kind);
/// @return nothing for a kind of a later version of this program
std::optional<SuspectKind> FromWire(wire::SuspectKind::type kind);

wire::SentAs::type ToWire(SentAs sent_as);
SentAs FromWire(wire::SentAs::type sent_as);

wire::TargetCrash ToWire(const TargetCrash& crash);
TargetCrash FromWire(const wire::TargetCrash& encoded);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CRASH_MESSAGES_H_
