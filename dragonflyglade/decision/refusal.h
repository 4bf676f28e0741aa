#ifndef DRAGONFLYGLADE_DECISION_REFUSAL_H_
#define DRAGONFLYGLADE_DECISION_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace dragonflyglade {

/// Why a request was refused or failed.
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
  kZonesEvacuated,
  kTargetsLimited,
  kTargetsResting,
  kStreamOriginUnknown,
  kStreamVersionUnavailable,
  kCrashingPart,
  kCrashingRequest,
  kEnginesOverloaded,
  kRequestTooLargeForEngines,
  kQueueFull,
  kMemoryFull,
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

inline constexpr int kRefusalCodeCount =
    static_cast<int>(RefusalCode::kInternal) + 1;

/// Whether a target may have executed the refused request.
enum class WasExecuted { kNo, kUnknown };

/// The response that a refusal code leads to.
struct RefusalRule {
  RefusalCode code;
  std::string_view name;  ///< the `code` of the JSON error
  int http_status;
  WasExecuted ran;
  bool retry_later;  ///< whether the response has a Retry-After header
};

/// The rule for a code.
const RefusalRule& RefusalRuleFor(RefusalCode code);

/// A refusal that is sent to a caller.
struct Refusal {
  RefusalCode code = RefusalCode::kInternal;
  std::string message;
  absl::Duration retry_after = absl::Seconds(1);
};

/// The name of a WasExecuted value: "no" or "unknown".
std::string_view NameOf(WasExecuted ran);

/// The JSON body of the response to a refused request.
std::string RefusalBody(const Refusal& refusal, std::string_view request_id);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_REFUSAL_H_
