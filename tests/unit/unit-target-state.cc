#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/gateway/target_state.h"

namespace dragonflyglade::gateway {
namespace {

struct HoldsCase {
  const char* what;
  std::vector<std::string> recorded;  ///< adapters in the target's record
  std::set<std::string> placed;       ///< adapters by the leader's last summary
  absl::Duration summary_age;
  bool expected;
};

class TargetStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetStateTest);
  CPPUNIT_TEST(KnowsAdaptersWithoutALeader);
  CPPUNIT_TEST(ForgetsSlowness);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusals for resident adapters while there is no leader.
  void KnowsAdaptersWithoutALeader() {
    const absl::Duration recent = absl::Milliseconds(200);
    const absl::Duration old = absl::Seconds(5);
    const std::vector<HoldsCase> cases = {
        {"resident by the leader", {}, {"m/x"}, recent, true},
        {"unloaded by the leader", {"x"}, {}, recent, false},
        {"resident by the last leader", {}, {"m/x"}, old, true},
        {"resident by the record", {"x"}, {}, old, true},
        {"another adapter", {}, {"m/y"}, old, false},
    };
    const Instant start = absl::Hours(1);
    for (const HoldsCase& item : cases) {
      TargetRecord record;
      record.models.push_back({"m", item.recorded});
      TargetState target(record, start);
      target.SetPlacement(item.placed, {}, start);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.what, item.expected,
          target.Holds("m", "x", start + item.summary_age));
    }
    // Another process of the target holds nothing of before.
    TargetRecord record;
    record.models.push_back({"m", {}});
    TargetState target(record, start);
    target.SetPlacement({"m/x"}, {}, start);
    record.born_ms = 1;
    target.Update(record, start);
    CPPUNIT_ASSERT(!target.Holds("m", "x", start + old));
  }

  // Guards against an engine that is avoided for a slow moment of long ago.
  void ForgetsSlowness() {
    const Instant start = absl::Hours(1);
    TargetState target(TargetRecord(), start);
    CPPUNIT_ASSERT(!target.StatesSlowness());
    LoadReport report;
    report.slowness = 2.5;
    target.SetLoadReport(report, start);
    CPPUNIT_ASSERT_EQUAL(2.5, target.Slowness(start + absl::Milliseconds(999)));
    CPPUNIT_ASSERT_EQUAL(1.0, target.Slowness(start + absl::Seconds(1)));
    // A report without the figure says that the engine is as usual.
    target.SetLoadReport(report, start);
    target.SetLoadReport(LoadReport(), start);
    CPPUNIT_ASSERT_EQUAL(1.0, target.Slowness(start));
    CPPUNIT_ASSERT(target.StatesSlowness());
    TargetRecord restarted;
    restarted.born_ms = 1;
    target.Update(restarted, start);
    CPPUNIT_ASSERT(!target.StatesSlowness());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetStateTest, "unit-target-state");

}  // namespace
}  // namespace dragonflyglade::gateway
