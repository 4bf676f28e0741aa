#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

#include "dragonflyglade/decision/config_freshness.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kBound = absl::Seconds(5);

struct StateCase {
  const char* name;
  std::optional<absl::Duration> age;
  PeerReachability reach;
  ConfigFreshnessState expected;
};

class ConfigFreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFreshnessTest);
  CPPUNIT_TEST(DecidesByAgeAndReachability);
  CPPUNIT_TEST(IgnoresAnOlderConfirmation);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: an instance that lost the key-value service accepts a key that was
  // withdrawn where the service is still reachable. It may go on serving only
  // if all instances that the platform lists are reachable and as stale as
  // itself: then none of them reaches the service, and no withdrawal can have
  // taken effect.
  void DecidesByAgeAndReachability() {
    const absl::Duration fresh = absl::Seconds(5);
    const absl::Duration stale = absl::Seconds(6);
    const std::vector<StateCase> cases = {
        {"never complete",
         std::nullopt,
         {5, 5},
         ConfigFreshnessState::kNeverComplete},
        {"fresh and alone", fresh, {0, 0}, ConfigFreshnessState::kFresh},
        {"fresh but partitioned from peers",
         fresh,
         {5, 0},
         ConfigFreshnessState::kFresh},
        {"stale with all peers reachable",
         stale,
         {5, 5},
         ConfigFreshnessState::kStoreOutage},
        {"stale and one peer is missing",
         stale,
         {5, 4},
         ConfigFreshnessState::kPartitioned},
        {"stale with no reachable peer",
         stale,
         {5, 0},
         ConfigFreshnessState::kPartitioned},
        {"stale and alone", stale, {0, 0}, ConfigFreshnessState::kPartitioned},
    };
    for (const StateCase& item : cases) {
      ManualClock manual;
      manual.Advance(absl::Hours(1));
      ConfigFreshness freshness(kBound, Clock(&manual));
      if (item.age.has_value()) {
        freshness.MarkCurrentAt(manual.Now() - *item.age);
      }
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             freshness.StateFor(item.reach) == item.expected);
    }
  }

  void IgnoresAnOlderConfirmation() {
    ManualClock manual;
    manual.Advance(absl::Seconds(10));
    ConfigFreshness freshness(kBound, Clock(&manual));
    freshness.MarkCurrentAt(absl::Seconds(9));
    freshness.MarkCurrentAt(absl::Seconds(2));
    CPPUNIT_ASSERT(freshness.Age() == absl::Seconds(1));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ConfigFreshnessTest, "unit-freshness");

}  // namespace
}  // namespace dragonflyglade
