#ifndef DRAGONFLYGLADE_DECISION_CLAIM_H_
#define DRAGONFLYGLADE_DECISION_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade {

/// State of the call that a claim stands for.
enum class ClaimState {
  kRunning,  ///< claimed; the call may or may not have been sent
  kDone,     ///< completed; the response is stored
  kUnknown,  ///< sent, but whether it ran is not known
};

/// The response of the call, stored with its claim.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// The record in the key-value service by which a call with an idempotency key
/// runs at most once.
struct Claim {
  std::string nonce;   ///< random; identifies the writer of the claim
  std::string digest;  ///< of the request's method, path and body
  ClaimState state = ClaimState::kRunning;
  StoredResponse response;  ///< only set in kDone
};

/// Writes a claim as JSON.
std::string SerializeClaim(const Claim& claim);
/// Reads a claim from JSON.
/// Errors: kMalformedResponse if the text is not a claim.
Result<Claim> ParseClaim(std::string_view text);

/// Result of writing a claim: it was created at this revision.
struct ClaimCreated {
  std::int64_t revision = 0;
};
/// Result of writing a claim: one exists already under this key.
struct ClaimExists {
  std::string value;
  std::int64_t revision = 0;
};
/// Result of writing a claim: the service did not respond, so the claim may or
/// may not have been written.
struct ClaimOutcomeUnknown {};
/// Result of writing a claim: it was certainly not written.
struct ClaimNotWritten {};
using ClaimWriteResult = std::variant<ClaimCreated, ClaimExists,
                                      ClaimOutcomeUnknown, ClaimNotWritten>;

/// Next step: send the call; this process owns the claim.
struct DispatchCall {
  std::int64_t revision = 0;
};
/// Next step: return the stored response to the caller.
struct ReplayResponse {
  StoredResponse response;
};
/// Next step: refuse; another call with this key is in progress, or its outcome
/// is unknown.
struct InProgressOrUnknown {};
/// Next step: refuse; the key was used before with a different request.
struct IdempotencyKeyReused {};
/// Next step: retry the same write with the same nonce.
struct RetryClaimWrite {};
/// Next step: give up; the call was not sent.
struct AbandonCall {};
using ClaimStep =
    std::variant<DispatchCall, ReplayResponse, InProgressOrUnknown,
                 IdempotencyKeyReused, RetryClaimWrite, AbandonCall>;

/// Decides the next step after an attempt to create a claim.
/// @param own the claim that this process tried to write
/// @param write the result of the attempt
/// @param may_retry whether there is time for another attempt
ClaimStep DecideClaimStep(const Claim& own, const ClaimWriteResult& write,
                          bool may_retry);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CLAIM_H_
