#include "dragonflyglade/decision/claim.h"

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kRunningName = "running";
constexpr const char* kDoneName = "done";
constexpr const char* kUnknownName = "unknown";

const char* StateName(ClaimState state) {
  switch (state) {
    case ClaimState::kRunning:
      return kRunningName;
    case ClaimState::kDone:
      return kDoneName;
    case ClaimState::kUnknown:
      return kUnknownName;
  }
  return kUnknownName;
}

ClaimState ParseState(std::string_view name) {
  if (name == kRunningName) return ClaimState::kRunning;
  if (name == kDoneName) return ClaimState::kDone;
  return ClaimState::kUnknown;
}

ClaimStep StepForExistingClaim(const Claim& own, const ClaimExists& existing) {
  const Result<Claim> decoded = ParseClaim(existing.value);
  if (!decoded.Ok()) return InProgressOrUnknown{};
  const Claim& other = decoded.Value();
  // Failure: the first write takes effect but its response is lost. The second
  // attempt finds that claim and, without the nonce, would take the caller's
  // own call for another one. An equal nonce means that this process wrote the
  // claim; it sends the call only after this step, so the call has not been
  // sent yet.
  if (other.nonce == own.nonce) return DispatchCall{existing.revision};
  if (other.digest != own.digest) return IdempotencyKeyReused{};
  if (other.state == ClaimState::kDone) return ReplayResponse{other.response};
  return InProgressOrUnknown{};
}

}  // namespace

std::string SerializeClaim(const Claim& claim) {
  json document = {{"nonce", claim.nonce},
                   {"digest", claim.digest},
                   {"state", StateName(claim.state)}};
  if (claim.state == ClaimState::kDone) {
    document["answer"] = {
        {"status", claim.response.status},
        {"content_type", claim.response.content_type},
        {"body_base64", absl::Base64Escape(claim.response.body)}};
  }
  return document.dump();
}

Result<Claim> ParseClaim(std::string_view text) {
  const json document = ParseJsonOrDiscard(text);
  const auto malformed = [](std::string_view detail) {
    return MakeFailure(Errc::kMalformedResponse, "decode claim", "kv", detail);
  };
  if (!document.is_object()) return malformed("not a JSON object");
  try {
    Claim claim;
    claim.nonce = document.at("nonce").get<std::string>();
    claim.digest = document.at("digest").get<std::string>();
    claim.state = ParseState(document.at("state").get<std::string>());
    if (claim.state == ClaimState::kDone) {
      const json& answer = document.at("answer");
      claim.response.status = answer.at("status").get<int>();
      claim.response.content_type =
          answer.at("content_type").get<std::string>();
      const auto encoded = answer.at("body_base64").get<std::string>();
      if (!absl::Base64Unescape(encoded, &claim.response.body)) {
        return malformed("body is not base64");
      }
    }
    return claim;
  } catch (const json::exception& error) {
    return malformed(error.what());
  }
}

ClaimStep DecideClaimStep(const Claim& own, const ClaimWriteResult& write,
                          bool may_retry) {
  struct StepVisitor {
    const Claim& own;
    bool may_retry;

    ClaimStep operator()(const ClaimCreated& created) const {
      return DispatchCall{created.revision};
    }
    ClaimStep operator()(const ClaimExists& existing) const {
      return StepForExistingClaim(this->own, existing);
    }
    ClaimStep operator()(const ClaimOutcomeUnknown&) const {
      return this->RetryOrGiveUp();
    }
    ClaimStep operator()(const ClaimNotWritten&) const {
      return this->RetryOrGiveUp();
    }

    ClaimStep RetryOrGiveUp() const {
      if (this->may_retry) return RetryClaimWrite{};
      return AbandonCall{};
    }
  };
  return std::visit(StepVisitor{own, may_retry}, write);
}

}  // namespace dragonflyglade
