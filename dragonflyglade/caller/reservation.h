#ifndef DRAGONFLYGLADE_CALLER_RESERVATION_H_
#define DRAGONFLYGLADE_CALLER_RESERVATION_H_

#include <string_view>
#include <variant>

#include "dragonflyglade/decision/refusal.h"
#include "dragonflyglade/target/dispatcher.h"

namespace dragonflyglade {

/// A request's wait for a reservation at a target.
struct ReservationRequest {
  std::string_view workspace;
  RequestClass request_class = RequestClass::kChat;
  Instant deadline;
  std::string_view what;  ///< the model or service, for refusal messages
};

/// The refusal for a reservation that could not be made.
Refusal RefusalFor(ReservationError reason, std::string_view what);

/// Waits for a reservation at a target.
/// @return the reservation, or a refusal that says why there is none
std::variant<TargetReservation, Refusal> WaitForReservation(
    Dispatcher& dispatcher, const TargetRequirements& requirements,
    const ReservationRequest& request);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_CALLER_RESERVATION_H_
