#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

#include "dragonflyglade/decision/config_freshness.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kBound = absl::Seconds(5);

struct RightCase {
  const char* name;
  std::optional<absl::Duration> age;
  PeerReachability reach;
  ConfigFreshnessState expected;
};

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(DecidesByAgeAndReach);
  CPPUNIT_TEST(AnOlderConfirmationChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An instance that lost the key-value service must not serve a key that was
  // withdrawn where the service still is. It may go on only if everybody the
  // platform lists is in contact and just as stale: then the service is out
  // for all, and nothing can have been withdrawn.
  void DecidesByAgeAndReach() {
    const absl::Duration fresh = absl::Seconds(5);
    const absl::Duration stale = absl::Seconds(6);
    const std::vector<RightCase> cases = {
        {"never complete",
         std::nullopt,
         {5, 5},
         ConfigFreshnessState::kNeverComplete},
        {"fresh and alone", fresh, {0, 0}, ConfigFreshnessState::kFresh},
        {"fresh and cut from peers",
         fresh,
         {5, 0},
         ConfigFreshnessState::kFresh},
        {"stale with all peers",
         stale,
         {5, 5},
         ConfigFreshnessState::kStoreOutage},
        {"stale and one is missing",
         stale,
         {5, 4},
         ConfigFreshnessState::kCutOff},
        {"stale with no peer in reach",
         stale,
         {5, 0},
         ConfigFreshnessState::kCutOff},
        {"stale and alone", stale, {0, 0}, ConfigFreshnessState::kCutOff},
    };
    for (const RightCase& item : cases) {
      ManualClock manual;
      manual.Advance(absl::Hours(1));
      ConfigFreshness freshness(kBound, Clock(&manual));
      if (item.age.has_value()) {
        freshness.ConfirmedAt(manual.Now() - *item.age);
      }
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             freshness.Right(item.reach) == item.expected);
    }
  }

  void AnOlderConfirmationChangesNothing() {
    ManualClock manual;
    manual.Advance(absl::Seconds(10));
    ConfigFreshness freshness(kBound, Clock(&manual));
    freshness.ConfirmedAt(absl::Seconds(9));
    freshness.ConfirmedAt(absl::Seconds(2));
    CPPUNIT_ASSERT(freshness.Age() == absl::Seconds(1));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(FreshnessTest, "unit-freshness");

}  // namespace
}  // namespace dragonflyglade
