#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/answer_log.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/decision/crash_verdicts.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kApart = absl::Seconds(1);

Suspect Part(const std::string& id) { return {SuspectKind::kPart, id}; }

Suspect Request(const std::string& digest) {
  return {SuspectKind::kRequest, digest};
}

TargetCrash CrashOf(const std::string& target,
                    const SoftwareVersion& version = "v1") {
  return {target, 1, version};
}

class CrashAccountTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashAccountTest);
  CPPUNIT_TEST(CountsCrashesSinceTheLastAnswer);
  CPPUNIT_TEST(TellsPartsFromOtherCauses);
  CPPUNIT_TEST(KeepsSuspectsAmongPartsThatNeverRepeat);
  CPPUNIT_TEST(RemembersAnswersByVersion);
  CPPUNIT_TEST(CountsEachCrashOfARequest);
  CPPUNIT_TEST(TellsRepeatsFromOneFailure);
  CPPUNIT_TEST(TellsRequestsFromOtherCauses);
  CPPUNIT_TEST(TriesAHeldRequestOnce);
  CPPUNIT_TEST(RemembersAnsweredRequests);
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
      CrashAccount crashes{Clock(&clock)};
      for (const Step& step : item.steps) {
        clock.Advance(step.before);
        if (step.crash.empty()) {
          crashes.RecordSurvival(Part("p"), step.version, clock.Now());
        } else {
          crashes.RecordCrash(Part("p"), CrashOf(step.crash, step.version));
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.count,
                                   crashes.Count(Part("p")));
    }
  }

  // Guards against the blame of a part that many requests share while targets
  // end one after the other for another reason.
  void TellsPartsFromOtherCauses() {
    struct Case {
      std::string name;
      CrashEvidence evidence;
      CrashVerdict expected;
    };
    const CrashVerdict yes = CrashVerdict::kCrashesTargets;
    const CrashVerdict open = CrashVerdict::kOpen;
    const CrashVerdict no = CrashVerdict::kNotEnough;
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
    CrashAccount crashes{Clock(&clock)};
    crashes.RecordCrash(Part("bad"), CrashOf("a"));
    clock.Advance(kApart);
    crashes.RecordCrash(Part("bad"), CrashOf("b"));
    for (int i = 0; i < kParts; ++i) {
      clock.Advance(absl::Milliseconds(1));
      crashes.RecordCrash(Part(absl::StrCat("once", i)), CrashOf("b"));
    }
    clock.Advance(kApart);
    crashes.RecordCrash(Part("bad"), CrashOf("c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crashes.Count(Part("bad")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, crashes.Count(Part("once0")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         crashes.Count(Part(absl::StrCat("once", kParts - 1))));
  }

  // Guards against an answer of one version that clears a part under another.
  void RemembersAnswersByVersion() {
    ManualClock clock;
    AnswerLog log{Clock(&clock)};
    clock.Advance(kApart);
    log.RecordPart("p", "v1");
    clock.Advance(kApart);
    log.RecordPart("p", std::nullopt);
    log.RecordPart("p2", "v2");
    const auto found = log.Find(Part("p"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
    CPPUNIT_ASSERT(found.at("v1") == kApart);
    CPPUNIT_ASSERT(found.at(std::nullopt) == 2 * kApart);
    CPPUNIT_ASSERT(log.Find(Part("unknown")).empty());
  }

  // Guards against a repeat at the same moment that does not count, and against
  // a crash that two instances tell at different times.
  void CountsEachCrashOfARequest() {
    ManualClock clock;
    clock.Advance(kApart);
    CrashAccount crashes{Clock(&clock)};
    crashes.RecordCrash(Request("r"), CrashOf("a"));
    crashes.RecordCrash(Request("r"), CrashOf("b"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes.Count(Request("r")));
    crashes.RecordCrash(Request("r"), CrashOf("c"),
                        clock.Now() - absl::Milliseconds(500));
    crashes.RecordCrash(Request("r"), CrashOf("a"),
                        clock.Now() - absl::Milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crashes.Count(Request("r")));
    CPPUNIT_ASSERT(crashes.AgeOf(Request("r")) == absl::Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, crashes.Count(Part("r")));
  }

  // Guards against a sound request that is refused for good, since targets that
  // had it in progress ended one after the other, and against a guilty one that
  // is tried again and again.
  void TellsRepeatsFromOneFailure() {
    struct Case {
      std::string name;
      std::vector<SentAs> crashes;
      bool fell_together;
    };
    const SentAs first = SentAs::kUnsuspected;
    const SentAs repeat = SentAs::kRepeat;
    const SentAs trial = SentAs::kTrial;
    std::vector<SentAs> many_and_trial(40, first);
    many_and_trial.push_back(trial);
    const std::vector<Case> cases = {
        {"callers at once", {first, first, first}, true},
        {"and retries", {first, first, repeat, first, repeat}, true},
        {"two callers, and a retry", {first, first, repeat}, false},
        {"a caller that returns", {first, repeat, repeat}, false},
        {"a trial", {first, first, trial}, false},
        {"a trial after a failure", {first, first, first, first, trial}, false},
        {"a trial after a failure of many", many_and_trial, false},
        {"none", {}, false},
    };
    for (const Case& item : cases) {
      ManualClock clock;
      CrashAccount account{Clock(&clock)};
      for (std::size_t i = 0; i < item.crashes.size(); ++i) {
        // One instance of those that tell of it may not have known more.
        for (const SentAs sent_as : {repeat, item.crashes[i]}) {
          account.RecordCrash(Request("r"), CrashOf(absl::StrCat("t", i)),
                              clock.Now(), sent_as);
          clock.Advance(absl::Milliseconds(30));
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.fell_together,
          CrashAccount::FellTogether(account.CrashesOf(Request("r"))));
    }
  }

  // Guards against a sound request that is refused since two targets ended
  // under it in a failure of many, and against a fourth target.
  void TellsRequestsFromOtherCauses() {
    struct Case {
      std::string name;
      std::size_t crashes;
      std::size_t all_crashes;
      CrashVerdict expected;
    };
    const CrashVerdict yes = CrashVerdict::kCrashesTargets;
    const CrashVerdict no = CrashVerdict::kNotEnough;
    const std::vector<Case> cases = {
        {"one crash", 1, 1, no},         {"two of two", 2, 2, yes},
        {"two of five", 2, 5, yes},      {"two of six", 2, 6, no},
        {"three of thirty", 3, 30, yes}, {"no crash", 0, 9, no},
    };
    for (const Case& item : cases) {
      CrashEvidence evidence;
      evidence.counted = item.crashes;
      evidence.crashes = item.crashes;
      evidence.all_crashes = item.all_crashes;
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             item.expected == JudgeRequest(evidence));
    }
  }

  // Guards against a sound request that stays refused, and against a trial that
  // ends a fourth target.
  void TriesAHeldRequestOnce() {
    struct Case {
      std::string name;
      HeldRequest request;
      bool may_try;
    };
    const std::vector<Case> cases = {
        {"held just now", {2, absl::ZeroDuration(), false}, false},
        {"held for a while", {2, absl::Seconds(3), false}, true},
        {"tried", {2, absl::Seconds(3), true}, false},
        {"three crashes", {3, absl::Hours(1), false}, false},
        {"three at once, just now",
         {3, absl::ZeroDuration(), false, true},
         false},
        {"three at once", {3, absl::Seconds(3), false, true}, true},
        {"three at once, tried", {3, absl::Seconds(3), true, true}, false},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.may_try,
                                   MayTry(item.request));
      const bool returns_soon = RetryAfterOf(item.request) <= absl::Seconds(2);
      const bool is_open =
          (item.request.crashes < 3 || item.request.fell_together) &&
          !item.request.was_tried;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, is_open, returns_soon);
    }
  }

  // Guards against the blame of a request that many callers send and targets
  // answer, and against memory that grows with requests.
  void RemembersAnsweredRequests() {
    constexpr int kRequests = 5000;
    ManualClock clock;
    AnswerLog log{Clock(&clock)};
    for (int i = 0; i < kRequests; ++i) {
      clock.Advance(absl::Milliseconds(1));
      log.RecordRequest(absl::StrCat("r", i), "v1");
    }
    log.RecordRequest("r4999", "v2");
    CPPUNIT_ASSERT(log.Find(Request("r0")).empty());
    const auto found = log.Find(Request("r4999"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
    CPPUNIT_ASSERT(found.at("v1") == clock.Now());
    CPPUNIT_ASSERT(log.Find(Part("r4999")).empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CrashAccountTest, "unit-crash-account");

}  // namespace
}  // namespace dragonflyglade
