#include "dragonflyglade/caller/place.h"

#include <fmt/format.h>

namespace dragonflyglade {

Refusal RefusalFor(NoPlace reason, std::string_view what) {
  switch (reason) {
    case NoPlace::kBusy:
      return Refusal{RefusalCode::kTargetsBusy,
                     fmt::format("all targets of {} are busy", what)};
    case NoPlace::kNotResident:
      return Refusal{RefusalCode::kModelNotResident,
                     fmt::format("{} is not loaded at any target", what)};
    case NoPlace::kUnreachable:
    case NoPlace::kUnknownPool:
      break;
  }
  return Refusal{RefusalCode::kTargetsUnreachable,
                 fmt::format("no target of {} can be reached", what)};
}

std::variant<TargetPlace, Refusal> WaitForPlace(Dispatcher& dispatcher,
                                                const TargetNeed& need,
                                                const PlaceRequest& request) {
  const auto result = dispatcher.Acquire(
      need, request.workspace, request.request_class, request.deadline);
  if (const auto* found = std::get_if<TargetPlace>(&result)) return *found;
  if (const auto* reason = std::get_if<NoPlace>(&result)) {
    return RefusalFor(*reason, request.what);
  }
  return Refusal{RefusalCode::kQueueFull,
                 fmt::format("too many requests wait for {}", request.what)};
}

}  // namespace dragonflyglade
