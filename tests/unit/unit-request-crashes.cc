#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "measure/model/request_crash_fleet.h"

namespace dragonflyglade {
namespace {

// The users' bound: so many targets end under one request.
constexpr int kMaxEnded = 3;
constexpr int kSeeds = 20;
constexpr std::uint64_t kFirstSeed = 20261204;

class RequestCrashesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestCrashesTest);
  CPPUNIT_TEST(EndsThreeTargetsAtMost);
  CPPUNIT_TEST(ServesSoundRequestsWhileTargetsEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that ends target after target, whenever and
  // wherever its callers send it again.
  void EndsThreeTargetsAtMost() {
    struct Case {
      std::string name;
      int instances;
      int callers;
      absl::Duration pause;
      bool in_middle;
      double domain_share;
    };
    const absl::Duration none = absl::ZeroDuration();
    const absl::Duration some = absl::Seconds(2);
    const std::vector<Case> cases = {
        {"at once", 6, 1, none, false, 0},
        {"after two seconds", 6, 1, some, false, 0},
        {"two callers at the same moment", 6, 2, some, false, 0},
        {"in the middle of a stream", 6, 1, none, true, 0},
        {"while a third of the targets ends", 6, 1, some, false, 1.0 / 3},
        {"82 instances", 82, 1, none, false, 0},
        {"82 instances, two callers", 82, 2, some, false, 0},
    };
    for (const Case& item : cases) {
      for (int i = 0; i < kSeeds; ++i) {
        RequestCrashOptions options;
        options.instances = item.instances;
        options.bad_callers = item.callers;
        options.pause = item.pause;
        options.in_middle = item.in_middle;
        options.domain_share = item.domain_share;
        options.seed = kFirstSeed + i;
        const int ended = RequestCrashFleet(options).Run().ended;
        CPPUNIT_ASSERT_MESSAGE(
            absl::StrCat(item.name, ", seed ", options.seed, ": ", ended),
            ended <= kMaxEnded);
      }
    }
  }

  // Guards against sound requests that are refused since they were at targets
  // that ended for a reason of their own.
  void ServesSoundRequestsWhileTargetsEnd() {
    for (const double share : {1.0 / 3, 1.0}) {
      RequestCrashOptions options;
      options.bad_callers = 0;
      options.domain_share = share;
      options.seed = kFirstSeed;
      const RequestCrashResult held_back = RequestCrashFleet(options).Run();
      options.holds_back = false;
      const RequestCrashResult without = RequestCrashFleet(options).Run();
      CPPUNIT_ASSERT_EQUAL(without.sound, held_back.sound);
      // The users allow one in five hundred for what is refused wrongly.
      CPPUNIT_ASSERT(500 * (without.served - held_back.served) <=
                     held_back.sound);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RequestCrashesTest,
                                      "unit-request-crashes");

}  // namespace
}  // namespace dragonflyglade
