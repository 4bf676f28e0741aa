#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "dragonflyglade/decision/claim.h"

namespace dragonflyglade {
namespace {

Claim OwnClaim() {
  return Claim{"nonce-1", "digest-1", ClaimState::kRunning, {}};
}

ClaimExists ExistingClaim(const char* nonce, const char* digest,
                          ClaimState state) {
  Claim claim{nonce, digest, state, {}};
  claim.response =
      StoredResponse{201, "text/plain", std::string("\0\xff ok", 5)};
  return ClaimExists{SerializeClaim(claim), 7};
}

struct StepCase {
  const char* name;
  ClaimWriteResult write;
  bool may_retry;
  std::size_t expected;  ///< index in ClaimStep
};

template <typename T>
std::size_t IndexOf() {
  return ClaimStep(T{}).index();
}

class ClaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimTest);
  CPPUNIT_TEST(DecidesTheStepAfterAWrite);
  CPPUNIT_TEST(KeepsResponseBodiesByteForByte);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: a call runs twice, because two callers use one key at the same
  // time or because the response to a claim's write is lost. A call is sent
  // only when its claim is certainly this process's own, and never before that
  // is known.
  void DecidesTheStepAfterAWrite() {
    const std::vector<StepCase> cases = {
        {"created", ClaimCreated{3}, true, IndexOf<DispatchCall>()},
        {"own claim found after a lost answer",
         ExistingClaim("nonce-1", "digest-1", ClaimState::kRunning), true,
         IndexOf<DispatchCall>()},
        {"another caller's, running",
         ExistingClaim("nonce-2", "digest-1", ClaimState::kRunning), true,
         IndexOf<InProgressOrUnknown>()},
        {"another caller's, unknown",
         ExistingClaim("nonce-2", "digest-1", ClaimState::kUnknown), true,
         IndexOf<InProgressOrUnknown>()},
        {"another caller's, done",
         ExistingClaim("nonce-2", "digest-1", ClaimState::kDone), true,
         IndexOf<ReplayResponse>()},
        {"the key of another request",
         ExistingClaim("nonce-2", "digest-2", ClaimState::kDone), true,
         IndexOf<IdempotencyKeyReused>()},
        {"an unreadable claim", ClaimExists{"{", 4}, true,
         IndexOf<InProgressOrUnknown>()},
        {"no answer, time left", ClaimOutcomeUnknown{}, true,
         IndexOf<RetryClaimWrite>()},
        {"no answer, no time left", ClaimOutcomeUnknown{}, false,
         IndexOf<AbandonCall>()},
        {"not written, no time left", ClaimNotWritten{}, false,
         IndexOf<AbandonCall>()},
    };
    for (const StepCase& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.expected,
          DecideClaimStep(OwnClaim(), item.write, item.may_retry).index());
    }
  }

  void KeepsResponseBodiesByteForByte() {
    const ClaimStep step = DecideClaimStep(
        OwnClaim(), ExistingClaim("nonce-2", "digest-1", ClaimState::kDone),
        true);
    const StoredResponse& response = std::get<ReplayResponse>(step).response;
    CPPUNIT_ASSERT_EQUAL(201, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("\0\xff ok", 5), response.body);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ClaimTest, "unit-claim");

}  // namespace
}  // namespace dragonflyglade
