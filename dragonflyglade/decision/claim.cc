#include "dragonflyglade/decision/claim.h"

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kRunningName = "running";
constexpr const char* kDoneName = "done";
constexpr const char* kUnknownName = "unknown";

const char* NameOf(ClaimState state) {
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

ClaimState StateOf(std::string_view name) {
  if (name == kRunningName) return ClaimState::kRunning;
  if (name == kDoneName) return ClaimState::kDone;
  return ClaimState::kUnknown;
}

ClaimStep AfterExisting(const Claim& own, const ClaimExists& existing) {
  const Result<Claim> decoded = ParseClaim(existing.value);
  if (!decoded.Ok()) return InProgressOrUnknown{};
  const Claim& other = decoded.Value();
  // Failure: the answer to the first write is lost after it took effect; the
  // second attempt finds a claim and would report the caller's own call as
  // somebody else's. The nonce tells them apart, and since the call is only
  // dispatched after this answer, it has not been sent before.
  if (other.nonce == own.nonce) return DispatchCall{existing.revision};
  if (other.digest != own.digest) return IdempotencyKeyReused{};
  if (other.state == ClaimState::kDone) return ReplayResponse{other.answer};
  return InProgressOrUnknown{};
}

}  // namespace

std::string SerializeClaim(const Claim& claim) {
  json document = {{"nonce", claim.nonce},
                   {"digest", claim.digest},
                   {"state", NameOf(claim.state)}};
  if (claim.state == ClaimState::kDone) {
    document["answer"] = {
        {"status", claim.answer.status},
        {"content_type", claim.answer.content_type},
        {"body_base64", absl::Base64Escape(claim.answer.body)}};
  }
  return document.dump();
}

Result<Claim> ParseClaim(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  const auto broken = [](std::string_view why) {
    return MakeFailure(Errc::kMalformedResponse, "decode claim", "kv", why);
  };
  if (!document.is_object()) return broken("not a JSON object");
  try {
    Claim claim;
    claim.nonce = document.at("nonce").get<std::string>();
    claim.digest = document.at("digest").get<std::string>();
    claim.state = StateOf(document.at("state").get<std::string>());
    if (claim.state == ClaimState::kDone) {
      const json& answer = document.at("answer");
      claim.answer.status = answer.at("status").get<int>();
      claim.answer.content_type = answer.at("content_type").get<std::string>();
      const auto encoded = answer.at("body_base64").get<std::string>();
      if (!absl::Base64Unescape(encoded, &claim.answer.body)) {
        return broken("body is not base64");
      }
    }
    return claim;
  } catch (const json::exception& error) {
    return broken(error.what());
  }
}

ClaimStep DecideClaimStep(const Claim& own, const ClaimWriteResult& write,
                          bool may_retry) {
  struct Decide {
    const Claim& own;
    bool may_retry;

    ClaimStep operator()(const ClaimCreated& created) const {
      return DispatchCall{created.revision};
    }
    ClaimStep operator()(const ClaimExists& existing) const {
      return AfterExisting(this->own, existing);
    }
    ClaimStep operator()(const ClaimOutcomeUnknown&) const {
      return this->Again();
    }
    ClaimStep operator()(const ClaimNotWritten&) const { return this->Again(); }

    ClaimStep Again() const {
      if (this->may_retry) return RetryClaimWrite{};
      return AbandonCall{};
    }
  };
  return std::visit(Decide{own, may_retry}, write);
}

}  // namespace dragonflyglade
