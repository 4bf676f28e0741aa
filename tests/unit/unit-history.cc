#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "measure/history/history.h"

namespace dragonflyglade {
namespace {

AdmittedEvent AdmittedAt(double seconds, double tokens) {
  return AdmittedEvent{absl::Seconds(seconds), "w", tokens};
}

struct RuleCase {
  const char* name;
  std::function<Violations(const std::vector<HistoryEvent>&)> rule;
  std::vector<HistoryEvent> valid;
  std::vector<HistoryEvent> invalid;
};

Violations Windows(const std::vector<HistoryEvent>& events) {
  return CheckRateWindows(events, "w", 10, 100);
}

const std::vector<RuleCase>& Cases() {
  static const auto& cases = *new std::vector<RuleCase>{
      {"a burst, then the rate",
       Windows,
       {AdmittedAt(0, 100), AdmittedAt(1, 10), AdmittedAt(3, 20)},
       {AdmittedAt(0, 100), AdmittedAt(1, 11)}},
      {"a window that begins late",
       Windows,
       {AdmittedAt(0, 1), AdmittedAt(50, 100)},
       {AdmittedAt(0, 1), AdmittedAt(50, 60), AdmittedAt(50.5, 60)}},
      {"unused tokens lessen their own window",
       Windows,
       {AdmittedAt(0, 100), UnusedEvent{absl::Seconds(0), "w", 50},
        AdmittedAt(0, 50)},
       {AdmittedAt(0, 100), UnusedEvent{absl::Seconds(0), "w", 50},
        AdmittedAt(20, 150)}},
      {"at most once",
       CheckAtMostOnce,
       {RanEvent{"a"}, RanEvent{"b"}},
       {RanEvent{"a"}, RanEvent{"a"}}},
      {"true refusals",
       CheckAtMostOnce,
       {RanEvent{"a"}, ToldNotRunEvent{"b"}},
       {RanEvent{"a"}, ToldNotRunEvent{"a"}}},
      {"configuration never back",
       CheckConfigNeverBack,
       {InForceEvent{"i", "k", 3}, InForceEvent{"j", "k", 2},
        InForceEvent{"i", "k", 4}},
       {InForceEvent{"i", "k", 3}, InForceEvent{"i", "k", 2}}},
      {"own and whole answers",
       CheckOwnAnswers,
       {AnswerEvent{"x", "x"}},
       {AnswerEvent{"x", "y"}}},
      {"memory never over",
       CheckMemory,
       {MemoryEvent{"t", 10, 10}},
       {MemoryEvent{"t", 11, 10}}},
  };
  return cases;
}

class HistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryTest);
  CPPUNIT_TEST(EachRuleAcceptsValidAndRejectsInvalidHistories);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachRuleAcceptsValidAndRejectsInvalidHistories() {
    for (const RuleCase& item : Cases()) {
      CPPUNIT_ASSERT_MESSAGE(item.name, item.rule(item.valid).empty());
      CPPUNIT_ASSERT_MESSAGE(item.name, !item.rule(item.invalid).empty());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HistoryTest, "unit-history");

}  // namespace
}  // namespace dragonflyglade
