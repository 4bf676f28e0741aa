#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/part_crashes.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kApart = absl::Seconds(1);

TargetCrash CrashOf(const std::string& target,
                    const SoftwareVersion& version = "v1") {
  return {target, 1, version};
}

class PartCrashesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartCrashesTest);
  CPPUNIT_TEST(CountsCrashesSinceTheLastAnswer);
  CPPUNIT_TEST(TellsPartsFromOtherCauses);
  CPPUNIT_TEST(KeepsSuspectsAmongPartsThatNeverRepeat);
  CPPUNIT_TEST(RemembersAnswersByVersion);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against the blame of parts that were only beside one that crashes,
  // and against a part that is never found since it was sound elsewhere.
  void CountsCrashesSinceTheLastAnswer() {
    struct Step {
      absl::Duration before;  ///< time since the step before
      std::string crash;      ///< id of the target; empty: an answer
      SoftwareVersion version;
    };
    struct Case {
      std::string name;
      std::vector<Step> steps;
      std::size_t count;
    };
    const absl::Duration soon = absl::Milliseconds(50);
    const std::vector<Case> cases = {
        {"three crashes",
         {{kApart, "a", "v1"}, {kApart, "b", "v1"}, {kApart, "c", "v1"}},
         3},
        {"one crash, told by three instances",
         {{kApart, "a", "v1"}, {kApart, "a", "v1"}, {kApart, "a", "v1"}},
         1},
        {"all targets of a domain at once",
         {{kApart, "a", "v1"}, {soon, "b", "v1"}, {soon, "c", "v1"}},
         1},
        {"an answer in between",
         {{kApart, "a", "v1"},
          {kApart, "b", "v1"},
          {kApart, "", "v1"},
          {kApart, "c", "v1"}},
         1},
        {"an answer before",
         {{kApart, "", "v1"}, {kApart, "a", "v1"}, {kApart, "b", "v1"}},
         2},
        {"an answer by another software version",
         {{kApart, "a", "v2"}, {kApart, "b", "v2"}, {kApart, "", "v1"}},
         2},
        {"an answer by targets that state no version",
         {{kApart, "a", std::nullopt}, {kApart, "", std::nullopt}},
         0},
        {"a crash of the day before",
         {{kApart, "a", "v1"}, {absl::Hours(25), "b", "v1"}},
         1},
    };
    for (const Case& item : cases) {
      ManualClock clock;
      PartCrashes crashes{Clock(&clock)};
      for (const Step& step : item.steps) {
        clock.Advance(step.before);
        if (step.crash.empty()) {
          crashes.RecordSurvival("p", step.version, clock.Now());
        } else {
          crashes.RecordCrash("p", CrashOf(step.crash, step.version));
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.count, crashes.Count("p"));
    }
  }

  // Guards against the blame of a part that many requests share while targets
  // end one after the other for another reason.
  void TellsPartsFromOtherCauses() {
    struct Case {
      std::string name;
      PartEvidence evidence;
      PartVerdict expected;
    };
    const PartVerdict yes = PartVerdict::kCrashesTargets;
    const PartVerdict open = PartVerdict::kOpen;
    const PartVerdict no = PartVerdict::kNotEnough;
    const absl::Duration now = absl::ZeroDuration();
    const absl::Duration long_wait = absl::Seconds(2);
    const std::vector<Case> cases = {
        {"all crashes", {3, 3, 3, 18, 30, kApart, now}, yes},
        {"two crashes", {2, 2, 2, 18, 30, kApart, now}, no},
        {"three at once", {1, 3, 3, 18, 30, kApart, now}, no},
        {"one of two parts that crash", {3, 3, 6, 18, 30, kApart, now}, yes},
        {"few answers so far", {3, 3, 3, 18, 4, kApart, now}, open},
        {"no other requests", {3, 3, 3, 18, 0, kApart, long_wait}, no},
        {"no other requests, and five crashes",
         {4, 5, 5, 18, 0, kApart, long_wait},
         yes},
        {"a domain fails", {3, 3, 8, 24, 30, kApart, now}, no},
        {"all targets fail", {4, 5, 12, 18, 4, kApart, now}, open},
        {"few of them are left", {4, 5, 12, 18, 30, kApart, now}, open},
        {"none is back yet", {3, 5, 12, 18, 4, kApart, long_wait}, no},
        {"not answered for long", {3, 3, 30, 18, 200, 10 * kApart, now}, yes},
        {"no crash", {0, 0, 0, 18, 30, kApart, now}, no},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             item.expected == JudgePart(item.evidence));
    }
  }

  // Guards against memory that grows with parts that are seen once, and against
  // a suspect that they push out.
  void KeepsSuspectsAmongPartsThatNeverRepeat() {
    constexpr int kParts = 30000;
    ManualClock clock;
    PartCrashes crashes{Clock(&clock)};
    crashes.RecordCrash("bad", CrashOf("a"));
    clock.Advance(kApart);
    crashes.RecordCrash("bad", CrashOf("b"));
    for (int i = 0; i < kParts; ++i) {
      clock.Advance(absl::Milliseconds(1));
      crashes.RecordCrash(absl::StrCat("once", i), CrashOf("b"));
    }
    clock.Advance(kApart);
    crashes.RecordCrash("bad", CrashOf("c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crashes.Count("bad"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, crashes.Count("once0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         crashes.Count(absl::StrCat("once", kParts - 1)));
  }

  // Guards against an answer of one version that clears a part under another.
  void RemembersAnswersByVersion() {
    ManualClock clock;
    SurvivedParts parts{Clock(&clock)};
    clock.Advance(kApart);
    parts.Record("p", "v1");
    clock.Advance(kApart);
    parts.Record("p", std::nullopt);
    parts.Record("p2", "v2");
    const auto found = parts.Find("p");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
    CPPUNIT_ASSERT(found.at("v1") == kApart);
    CPPUNIT_ASSERT(found.at(std::nullopt) == 2 * kApart);
    CPPUNIT_ASSERT(parts.Find("unknown").empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PartCrashesTest, "unit-part-crashes");

}  // namespace
}  // namespace dragonflyglade
