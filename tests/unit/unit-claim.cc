#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "dragonflyglade/decision/claim.h"

namespace dragonflyglade {
namespace {

Claim Own() { return Claim{"nonce-1", "digest-1", ClaimState::kRunning, {}}; }

ClaimExists Existing(const char* nonce, const char* digest, ClaimState state) {
  Claim claim{nonce, digest, state, {}};
  claim.answer = StoredAnswer{201, "text/plain", std::string("\0\xff ok", 5)};
  return ClaimExists{EncodeClaim(claim), 7};
}

struct StepCase {
  const char* name;
  ClaimWrite write;
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
        {"created", ClaimCreated{3}, true, IndexOf<Dispatch>()},
        {"lost answer, found again",
         Existing("nonce-1", "digest-1", ClaimState::kRunning), true,
         IndexOf<Dispatch>()},
        {"another caller's, running",
         Existing("nonce-2", "digest-1", ClaimState::kRunning), true,
         IndexOf<InDoubt>()},
        {"another caller's, unknown",
         Existing("nonce-2", "digest-1", ClaimState::kUnknown), true,
         IndexOf<InDoubt>()},
        {"another caller's, done",
         Existing("nonce-2", "digest-1", ClaimState::kDone), true,
         IndexOf<Replay>()},
        {"the key of another request",
         Existing("nonce-2", "digest-2", ClaimState::kDone), true,
         IndexOf<KeyReused>()},
        {"an unreadable claim", ClaimExists{"{", 4}, true, IndexOf<InDoubt>()},
        {"no answer, time left", ClaimOutcomeUnknown{}, true,
         IndexOf<TryAgain>()},
        {"no answer, no time left", ClaimOutcomeUnknown{}, false,
         IndexOf<NotDispatched>()},
        {"not written, no time left", ClaimNotWritten{}, false,
         IndexOf<NotDispatched>()},
    };
    for (const StepCase& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.expected,
          AfterClaimWrite(Own(), item.write, item.may_retry).index());
    }
  }

  void KeepsAnswersToTheByte() {
    const ClaimStep step = AfterClaimWrite(
        Own(), Existing("nonce-2", "digest-1", ClaimState::kDone), true);
    const StoredAnswer& answer = std::get<Replay>(step).answer;
    CPPUNIT_ASSERT_EQUAL(201, answer.status);
    CPPUNIT_ASSERT_EQUAL(std::string("\0\xff ok", 5), answer.body);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ClaimTest, "unit-claim");

}  // namespace
}  // namespace dragonflyglade
