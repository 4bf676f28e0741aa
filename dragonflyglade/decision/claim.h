#ifndef DRAGONFLYGLADE_DECISION_CLAIM_H_
#define DRAGONFLYGLADE_DECISION_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade {

/// How far the call behind a claim has come.
enum class ClaimState {
  kRunning,  ///< claimed; the call may or may not have been sent
  kDone,     ///< the answer is stored
  kUnknown,  ///< sent, and nobody knows whether it ran
};

/// An answer kept with its claim.
struct StoredResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// The record that lets one caller's call run at most once.
struct Claim {
  std::string nonce;   ///< drawn by the claimant; tells its own write
  std::string digest;  ///< of method, path and body
  ClaimState state = ClaimState::kRunning;
  StoredResponse answer;  ///< meaningful when done
};

/// Writes a claim as JSON.
std::string SerializeClaim(const Claim& claim);
/// Reads a claim from JSON.
/// Errors: kMalformedResponse for anything else.
Result<Claim> ParseClaim(std::string_view text);

/// What the key-value service said to the attempt to create a claim.
struct ClaimCreated {
  std::int64_t revision = 0;
};
/// A claim is there already.
struct ClaimExists {
  std::string value;
  std::int64_t revision = 0;
};
/// No answer: it may or may not have been written.
struct ClaimOutcomeUnknown {};
/// It was certainly not written.
struct ClaimNotWritten {};
using ClaimWriteResult = std::variant<ClaimCreated, ClaimExists,
                                      ClaimOutcomeUnknown, ClaimNotWritten>;

/// The claim is this caller's; dispatch the call.
struct DispatchCall {
  std::int64_t revision = 0;
};
/// Give the caller the stored answer.
struct ReplayResponse {
  StoredResponse answer;
};
/// Another call with this key is under way or its fate is unknown.
struct InProgressOrUnknown {};
/// The same key came with another request.
struct IdempotencyKeyReused {};
/// Try the same write again, with the same nonce.
struct RetryClaimWrite {};
/// Give up; nothing was dispatched.
struct AbandonCall {};
using ClaimStep =
    std::variant<DispatchCall, ReplayResponse, InProgressOrUnknown,
                 IdempotencyKeyReused, RetryClaimWrite, AbandonCall>;

/// Decides what follows an attempt to create a claim.
/// @param own the claim that was written
/// @param write what came of it
/// @param may_retry whether there is time for another attempt
ClaimStep DecideClaimStep(const Claim& own, const ClaimWriteResult& write,
                          bool may_retry);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_CLAIM_H_
