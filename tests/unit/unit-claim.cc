#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "dragonflyglade/decision/claim.h"

namespace dragonflyglade {
namespace {

Claim Own() { return Claim{"nonce-1", "digest-1", ClaimState::kRunning, {}}; }

ClaimExists Existing(const char* nonce, const char* digest, ClaimState state) {
  Claim claim{nonce, digest, state, {}};
  claim.answer = StoredResponse{201, "text/plain", std::string("\0\xff ok", 5)};
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
  CPPUNIT_TEST(DecidesWhatFollowsAWrite);
  CPPUNIT_TEST(KeepsAnswersToTheByte);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Two callers race with one key, or the service's answer to the own write
  // is lost. Only a claim that is certainly the own one is dispatched, and
  // nothing was dispatched before it was known.
  void DecidesWhatFollowsAWrite() {
    const std::vector<StepCase> cases = {
        {"created", ClaimCreated{3}, true, IndexOf<DispatchCall>()},
        {"lost answer, found again",
         Existing("nonce-1", "digest-1", ClaimState::kRunning), true,
         IndexOf<DispatchCall>()},
        {"another caller's, running",
         Existing("nonce-2", "digest-1", ClaimState::kRunning), true,
         IndexOf<InProgressOrUnknown>()},
        {"another caller's, unknown",
         Existing("nonce-2", "digest-1", ClaimState::kUnknown), true,
         IndexOf<InProgressOrUnknown>()},
        {"another caller's, done",
         Existing("nonce-2", "digest-1", ClaimState::kDone), true,
         IndexOf<ReplayResponse>()},
        {"the key of another request",
         Existing("nonce-2", "digest-2", ClaimState::kDone), true,
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
          DecideClaimStep(Own(), item.write, item.may_retry).index());
    }
  }

  void KeepsAnswersToTheByte() {
    const ClaimStep step = DecideClaimStep(
        Own(), Existing("nonce-2", "digest-1", ClaimState::kDone), true);
    const StoredResponse& answer = std::get<ReplayResponse>(step).answer;
    CPPUNIT_ASSERT_EQUAL(201, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("\0\xff ok", 5), answer.body);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ClaimTest, "unit-claim");

}  // namespace
}  // namespace dragonflyglade
