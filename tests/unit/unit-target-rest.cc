#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/target_rest.h"

namespace dragonflyglade {
namespace {

constexpr double kShare = 10;

// A target's answer that asks for rest.
struct Ask {
  absl::Duration at;
  absl::Duration time;
};

class TargetRestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRestTest);
  CPPUNIT_TEST(LastsUntilTheLastEnd);
  CPPUNIT_TEST(EndsWithFewRequestsAtFirst);
  CPPUNIT_TEST_SUITE_END();

  // Guards against requests within a rest that a later answer seems to shorten.
  void LastsUntilTheLastEnd() {
    struct Case {
      std::string name;
      std::vector<Ask> asks;
      absl::Duration now;
      absl::Duration remaining;
    };
    const absl::Duration s = absl::Seconds(1);
    const std::vector<Case> cases = {
        {"never asked", {}, 1 * s, 0 * s},
        {"resting", {{1 * s, 3 * s}}, 2 * s, 2 * s},
        {"over", {{1 * s, 3 * s}}, 4 * s, 0 * s},
        {"a shorter one later", {{1 * s, 3 * s}, {2 * s, 1 * s}}, 3 * s, 1 * s},
        {"a longer one later", {{1 * s, 3 * s}, {2 * s, 3 * s}}, 3 * s, 2 * s},
        {"an older answer that arrives later",
         {{2 * s, 3 * s}, {1 * s, 3 * s}},
         3 * s,
         2 * s},
        {"none", {{1 * s, 0 * s}}, 1 * s, 0 * s},
        {"a negative one", {{1 * s, -1 * s}}, 1 * s, 0 * s},
        {"for ever",
         {{1 * s, absl::InfiniteDuration()}},
         1 * s,
         absl::Hours(24)},
    };
    for (const Case& item : cases) {
      TargetRest rest;
      for (const Ask& ask : item.asks) rest.Record(ask.time, ask.at);
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             rest.Remaining(item.now) == item.remaining);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.remaining > 0 * s,
                                   rest.IsResting(item.now));
    }
  }

  // Guards against a backlog that overloads the target again when its rest
  // ends.
  void EndsWithFewRequestsAtFirst() {
    TargetRest rest;
    CPPUNIT_ASSERT(!rest.MaxInFlight(kShare, absl::Seconds(5)).has_value());
    rest.Record(absl::Seconds(3), absl::Seconds(10));
    CPPUNIT_ASSERT_EQUAL(0, *rest.MaxInFlight(kShare, absl::Seconds(12)));
    int before = 1;
    CPPUNIT_ASSERT_EQUAL(before, *rest.MaxInFlight(kShare, absl::Seconds(13)));
    for (int tenths = 131; tenths < 150; ++tenths) {
      const int most =
          rest.MaxInFlight(kShare, tenths * absl::Milliseconds(100)).value();
      CPPUNIT_ASSERT(most >= before && most <= before + 1);
      before = most;
    }
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kShare), before);
    CPPUNIT_ASSERT(!rest.MaxInFlight(kShare, absl::Seconds(15)).has_value());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetRestTest, "unit-target-rest");

}  // namespace
}  // namespace dragonflyglade
