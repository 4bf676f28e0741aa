#include "dragonflyglade/decision/refusal.h"

#include <array>
#include <nlohmann/json.hpp>

namespace dragonflyglade {
namespace {

constexpr bool kRetryLater = true;
constexpr bool kNoRetry = false;

// Indexed by RefusalCode; a unit test checks every entry.
constexpr std::array<RefusalRule, kRefusalCodeCount> kRules = {{
    {RefusalCode::kBadRequest, "bad_request", 400, Ran::kNo, kNoRetry},
    {RefusalCode::kMissingKey, "missing_key", 401, Ran::kNo, kNoRetry},
    {RefusalCode::kUnknownKey, "unknown_key", 401, Ran::kNo, kNoRetry},
    {RefusalCode::kKeyWithdrawn, "key_withdrawn", 401, Ran::kNo, kNoRetry},
    {RefusalCode::kNotFound, "not_found", 404, Ran::kNo, kNoRetry},
    {RefusalCode::kMethodNotAllowed, "method_not_allowed", 405, Ran::kNo,
     kNoRetry},
    {RefusalCode::kBodyTooLarge, "body_too_large", 413, Ran::kNo, kNoRetry},
    {RefusalCode::kCostAboveBurst, "cost_above_burst", 400, Ran::kNo, kNoRetry},
    {RefusalCode::kOverRate, "over_rate", 429, Ran::kNo, kRetryLater},
    {RefusalCode::kNoRate, "no_rate", 403, Ran::kNo, kNoRetry},
    {RefusalCode::kNoShare, "no_share", 503, Ran::kNo, kRetryLater},
    {RefusalCode::kNotReady, "not_ready", 503, Ran::kNo, kRetryLater},
    {RefusalCode::kConfigurationStale, "configuration_stale", 503, Ran::kNo,
     kRetryLater},
    {RefusalCode::kDraining, "draining", 503, Ran::kNo, kRetryLater},
    {RefusalCode::kModelNotResident, "model_not_resident", 503, Ran::kNo,
     kRetryLater},
    {RefusalCode::kTargetsBusy, "targets_busy", 503, Ran::kNo, kRetryLater},
    {RefusalCode::kTargetsUnreachable, "targets_unreachable", 503, Ran::kNo,
     kRetryLater},
    {RefusalCode::kQueueFull, "queue_full", 503, Ran::kNo, kRetryLater},
    {RefusalCode::kClaimServiceUnavailable, "claim_service_unavailable", 503,
     Ran::kNo, kRetryLater},
    {RefusalCode::kClaimInDoubt, "claim_in_doubt", 409, Ran::kUnknown,
     kRetryLater},
    {RefusalCode::kIdempotencyKeyReused, "idempotency_key_reused", 422,
     Ran::kNo, kNoRetry},
    {RefusalCode::kTargetRefused, "target_refused", 502, Ran::kUnknown,
     kNoRetry},
    {RefusalCode::kTargetTimeout, "target_timeout", 504, Ran::kUnknown,
     kNoRetry},
    {RefusalCode::kTargetLost, "target_lost", 502, Ran::kUnknown, kNoRetry},
    {RefusalCode::kAnswerTruncated, "answer_truncated", 502, Ran::kUnknown,
     kNoRetry},
    {RefusalCode::kAnswerMismatch, "answer_mismatch", 502, Ran::kUnknown,
     kNoRetry},
    {RefusalCode::kStreamEnded, "stream_ended", 502, Ran::kUnknown, kNoRetry},
    {RefusalCode::kInternal, "internal", 500, Ran::kUnknown, kNoRetry},
}};

}  // namespace

const RefusalRule& RefusalRuleFor(RefusalCode code) {
  return kRules.at(static_cast<std::size_t>(code));
}

std::string_view NameOf(Ran ran) { return ran == Ran::kNo ? "no" : "unknown"; }

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
