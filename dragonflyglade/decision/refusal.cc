#include "dragonflyglade/decision/refusal.h"

#include <array>
#include <nlohmann/json.hpp>

namespace dragonflyglade {
namespace {

constexpr bool kRetryLater = true;
constexpr bool kNoRetry = false;

// Indexed by RefusalCode; a unit test checks every entry.
constexpr std::array<RefusalRule, kRefusalCodeCount> kRules = {{
    {RefusalCode::kBadRequest, "bad_request", 400, WasExecuted::kNo, kNoRetry},
    {RefusalCode::kMissingKey, "missing_key", 401, WasExecuted::kNo, kNoRetry},
    {RefusalCode::kUnknownKey, "unknown_key", 401, WasExecuted::kNo, kNoRetry},
    {RefusalCode::kKeyWithdrawn, "key_withdrawn", 401, WasExecuted::kNo,
     kNoRetry},
    {RefusalCode::kNotFound, "not_found", 404, WasExecuted::kNo, kNoRetry},
    {RefusalCode::kMethodNotAllowed, "method_not_allowed", 405,
     WasExecuted::kNo, kNoRetry},
    {RefusalCode::kBodyTooLarge, "body_too_large", 413, WasExecuted::kNo,
     kNoRetry},
    {RefusalCode::kCostAboveBurst, "cost_above_burst", 400, WasExecuted::kNo,
     kNoRetry},
    {RefusalCode::kOverRate, "over_rate", 429, WasExecuted::kNo, kRetryLater},
    {RefusalCode::kNoRate, "no_rate", 403, WasExecuted::kNo, kNoRetry},
    {RefusalCode::kNoShare, "no_share", 503, WasExecuted::kNo, kRetryLater},
    {RefusalCode::kNotReady, "not_ready", 503, WasExecuted::kNo, kRetryLater},
    {RefusalCode::kConfigurationStale, "configuration_stale", 503,
     WasExecuted::kNo, kRetryLater},
    {RefusalCode::kDraining, "draining", 503, WasExecuted::kNo, kRetryLater},
    {RefusalCode::kModelNotResident, "model_not_resident", 503,
     WasExecuted::kNo, kRetryLater},
    {RefusalCode::kTargetsBusy, "targets_busy", 503, WasExecuted::kNo,
     kRetryLater},
    {RefusalCode::kTargetsUnreachable, "targets_unreachable", 503,
     WasExecuted::kNo, kRetryLater},
    {RefusalCode::kZonesEvacuated, "zones_evacuated", 503, WasExecuted::kNo,
     kRetryLater},
    {RefusalCode::kTargetsLimited, "targets_limited", 503, WasExecuted::kNo,
     kRetryLater},
    {RefusalCode::kTargetsResting, "targets_resting", 503, WasExecuted::kNo,
     kRetryLater},
    {RefusalCode::kStreamOriginUnknown, "stream_origin_unknown", 503,
     WasExecuted::kNo, kRetryLater},
    {RefusalCode::kStreamVersionUnavailable, "stream_version_unavailable", 503,
     WasExecuted::kNo, kRetryLater},
    {RefusalCode::kCrashingPart, "crashing_part", 503, WasExecuted::kNo,
     kRetryLater},
    {RefusalCode::kCrashingRequest, "crashing_request", 503, WasExecuted::kNo,
     kRetryLater},
    {RefusalCode::kEnginesOverloaded, "engines_overloaded", 503,
     WasExecuted::kNo, kRetryLater},
    {RefusalCode::kRequestTooLargeForEngines, "request_too_large_for_engines",
     503, WasExecuted::kNo, kRetryLater},
    {RefusalCode::kQueueFull, "queue_full", 503, WasExecuted::kNo, kRetryLater},
    {RefusalCode::kMemoryFull, "memory_full", 503, WasExecuted::kNo,
     kRetryLater},
    {RefusalCode::kClaimServiceUnavailable, "claim_service_unavailable", 503,
     WasExecuted::kNo, kRetryLater},
    {RefusalCode::kClaimInDoubt, "claim_in_doubt", 409, WasExecuted::kUnknown,
     kRetryLater},
    {RefusalCode::kIdempotencyKeyReused, "idempotency_key_reused", 422,
     WasExecuted::kNo, kNoRetry},
    {RefusalCode::kTargetRefused, "target_refused", 502, WasExecuted::kUnknown,
     kNoRetry},
    {RefusalCode::kTargetTimeout, "target_timeout", 504, WasExecuted::kUnknown,
     kNoRetry},
    {RefusalCode::kTargetLost, "target_lost", 502, WasExecuted::kUnknown,
     kNoRetry},
    {RefusalCode::kAnswerTruncated, "answer_truncated", 502,
     WasExecuted::kUnknown, kNoRetry},
    {RefusalCode::kAnswerMismatch, "answer_mismatch", 502,
     WasExecuted::kUnknown, kNoRetry},
    {RefusalCode::kStreamEnded, "stream_ended", 502, WasExecuted::kUnknown,
     kNoRetry},
    {RefusalCode::kInternal, "internal", 500, WasExecuted::kUnknown, kNoRetry},
}};

}  // namespace

const RefusalRule& RefusalRuleFor(RefusalCode code) {
  return kRules.at(static_cast<std::size_t>(code));
}

std::string_view NameOf(WasExecuted ran) {
  return ran == WasExecuted::kNo ? "no" : "unknown";
}

std::string RefusalBody(const Refusal& refusal, std::string_view request_id) {
  using nlohmann::json;
  const RefusalRule& rule = RefusalRuleFor(refusal.code);
  const json body = {{"error",
                      {{"code", rule.name},
                       {"message", refusal.message},
                       {"ran", NameOf(rule.ran)},
                       {"request_id", request_id}}}};
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace dragonflyglade
