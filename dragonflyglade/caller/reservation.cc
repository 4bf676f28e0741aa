#include "dragonflyglade/caller/reservation.h"

#include <fmt/format.h>

namespace dragonflyglade {

Refusal RefusalFor(ReservationError reason, std::string_view what) {
  switch (reason) {
    case ReservationError::kBusy:
      return Refusal{RefusalCode::kTargetsBusy,
                     fmt::format("all targets of {} are busy", what)};
    case ReservationError::kNotResident:
      return Refusal{RefusalCode::kModelNotResident,
                     fmt::format("{} is not loaded at any target", what)};
    case ReservationError::kUnreachable:
    case ReservationError::kUnknownPool:
      break;
  }
  return Refusal{RefusalCode::kTargetsUnreachable,
                 fmt::format("no target of {} can be reached", what)};
}

std::variant<TargetReservation, Refusal> WaitForReservation(
    Dispatcher& dispatcher, const TargetRequirements& requirements,
    const ReservationRequest& request) {
  const auto result = dispatcher.Reserve(
      requirements, request.workspace, request.request_class, request.deadline);
  if (const auto* found = std::get_if<TargetReservation>(&result))
    return *found;
  if (const auto* reason = std::get_if<ReservationError>(&result)) {
    return RefusalFor(*reason, request.what);
  }
  return Refusal{RefusalCode::kQueueFull,
                 fmt::format("too many requests wait for {}", request.what)};
}

}  // namespace dragonflyglade
