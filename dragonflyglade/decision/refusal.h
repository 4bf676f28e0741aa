#ifndef DRAGONFLYGLADE_DECISION_REFUSAL_H_
#define DRAGONFLYGLADE_DECISION_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace dragonflyglade {

/// Each way in which a request is refused or fails.
enum class RefusalCode {
  kBadRequest,
  kMissingKey,
  kUnknownKey,
  kKeyWithdrawn,
  kNotFound,
  kMethodNotAllowed,
  kBodyTooLarge,
  kCostAboveBurst,
  kOverRate,
  kNoRate,
  kNoShare,
  kNotReady,
  kConfigurationStale,
  kDraining,
  kModelNotResident,
  kTargetsBusy,
  kTargetsUnreachable,
  kQueueFull,
  kClaimServiceUnavailable,
  kClaimInDoubt,
  kIdempotencyKeyReused,
  kTargetRefused,
  kTargetTimeout,
  kTargetLost,
  kAnswerTruncated,
  kAnswerMismatch,
  kStreamEnded,
  kInternal,
};

inline constexpr int kRefusalCodes =
    static_cast<int>(RefusalCode::kInternal) + 1;

/// Whether the refused call may have run at a target.
enum class Ran { kNo, kUnknown };

/// What a refusal code means to the caller.
struct RefusalRule {
  RefusalCode code;
  std::string_view name;  ///< the `code` of the JSON error
  int http_status;
  Ran ran;
  bool retry_later;  ///< carries Retry-After
};

/// The rule of a code.
const RefusalRule& RefusalRuleFor(RefusalCode code);

/// A refusal as it goes to the caller.
struct Refusal {
  RefusalCode code = RefusalCode::kInternal;
  std::string message;
  absl::Duration retry_after = absl::Seconds(1);
};

/// The name of a Ran value: "no" or "unknown".
std::string_view NameOf(Ran ran);

/// The JSON body of a refusal.
std::string RefusalBody(const Refusal& refusal, std::string_view request_id);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_REFUSAL_H_
