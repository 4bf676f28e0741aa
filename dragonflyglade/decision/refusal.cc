#include "dragonflyglade/decision/refusal.h"

#include <array>
#include <nlohmann/json.hpp>

namespace dragonflyglade {
namespace {

constexpr bool kLater = true;
constexpr bool kNever = false;

// In the order of RefusalCode; a unit test walks the whole table.
constexpr std::array<RefusalRule, kRefusalCodes> kRules = {{
    {RefusalCode::kBadRequest, "bad_request", 400, Ran::kNo, kNever},
    {RefusalCode::kMissingKey, "missing_key", 401, Ran::kNo, kNever},
    {RefusalCode::kUnknownKey, "unknown_key", 401, Ran::kNo, kNever},
    {RefusalCode::kKeyWithdrawn, "key_withdrawn", 401, Ran::kNo, kNever},
    {RefusalCode::kNotFound, "not_found", 404, Ran::kNo, kNever},
    {RefusalCode::kMethodNotAllowed, "method_not_allowed", 405, Ran::kNo,
     kNever},
    {RefusalCode::kBodyTooLarge, "body_too_large", 413, Ran::kNo, kNever},
    {RefusalCode::kCostAboveBurst, "cost_above_burst", 400, Ran::kNo, kNever},
    {RefusalCode::kOverRate, "over_rate", 429, Ran::kNo, kLater},
    {RefusalCode::kNoRate, "no_rate", 403, Ran::kNo, kNever},
    {RefusalCode::kNoShare, "no_share", 503, Ran::kNo, kLater},
    {RefusalCode::kNotReady, "not_ready", 503, Ran::kNo, kLater},
    {RefusalCode::kConfigurationStale, "configuration_stale", 503, Ran::kNo,
     kLater},
    {RefusalCode::kDraining, "draining", 503, Ran::kNo, kLater},
    {RefusalCode::kModelNotResident, "model_not_resident", 503, Ran::kNo,
     kLater},
    {RefusalCode::kTargetsBusy, "targets_busy", 503, Ran::kNo, kLater},
    {RefusalCode::kTargetsUnreachable, "targets_unreachable", 503, Ran::kNo,
     kLater},
    {RefusalCode::kQueueFull, "queue_full", 503, Ran::kNo, kLater},
    {RefusalCode::kClaimServiceUnavailable, "claim_service_unavailable", 503,
     Ran::kNo, kLater},
    {RefusalCode::kClaimInDoubt, "claim_in_doubt", 409, Ran::kUnknown, kLater},
    {RefusalCode::kIdempotencyKeyReused, "idempotency_key_reused", 422,
     Ran::kNo, kNever},
    {RefusalCode::kTargetRefused, "target_refused", 502, Ran::kUnknown, kNever},
    {RefusalCode::kTargetTimeout, "target_timeout", 504, Ran::kUnknown, kNever},
    {RefusalCode::kTargetLost, "target_lost", 502, Ran::kUnknown, kNever},
    {RefusalCode::kAnswerTruncated, "answer_truncated", 502, Ran::kUnknown,
     kNever},
    {RefusalCode::kAnswerMismatch, "answer_mismatch", 502, Ran::kUnknown,
     kNever},
    {RefusalCode::kStreamEnded, "stream_ended", 502, Ran::kUnknown, kNever},
    {RefusalCode::kInternal, "internal", 500, Ran::kUnknown, kNever},
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
