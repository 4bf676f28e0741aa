#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade {
namespace {

TargetCandidate Target(std::string_view id, double requests,
                       double unread = 0) {
  TargetCandidate candidate;
  candidate.id = id;
  candidate.slots = 64;
  candidate.requests = requests;
  candidate.unread_tokens = unread;
  return candidate;
}

TargetCandidate Faulty(TargetCandidate candidate, double share) {
  candidate.failure_rate = share;
  return candidate;
}

TargetCandidate Far(TargetCandidate candidate) {
  candidate.same_zone = false;
  return candidate;
}

struct ChoiceCase {
  const char* what;
  TargetChoiceRequest request;
  std::vector<TargetCandidate> candidates;
  const char* expected;
};

const TargetChoiceRequest kPlain;
const TargetChoiceRequest kPrompt{3000, 0, ""};

class TargetChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetChoiceTest);
  CPPUNIT_TEST(ChoosesByTable);
  CPPUNIT_TEST(KeepsSharedPromptsTogether);
  CPPUNIT_TEST(OrdersByUrgency);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChoosesByTable() {
    const std::vector<ChoiceCase> cases = {
        {"no candidate", kPlain, {}, ""},
        {"the one with fewer requests",
         kPlain,
         {Target("busy", 9), Target("idle", 1)},
         "idle"},
        {"unread prompts count more than requests",
         kPrompt,
         {Target("reads", 1, 30000), Target("writes", 20)},
         "writes"},
        {"all slots taken",
         kPrompt,
         {Target("full", 70), Target("free", 40, 900)},
         "free"},
        {"one that fails two in five is chosen last",
         kPlain,
         {Faulty(Target("grey", 0), 0.4), Target("sound", 30)},
         "sound"},
        {"near ties go to the own zone",
         kPrompt,
         {Far(Target("far", 3)), Target("near", 3)},
         "near"},
        {"the zone does not outweigh load",
         kPrompt,
         {Target("near", 30), Far(Target("far", 3))},
         "far"},
    };
    for (const ChoiceCase& item : cases) {
      const auto choice = ChooseTarget(item.request, item.candidates, 0.5);
      const std::string chosen =
          choice.has_value() ? std::string(item.candidates[choice->index].id)
                             : "";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, std::string(item.expected),
                                   chosen);
    }
  }

  // Instances do not ask each other which engine has kept a prompt's part:
  // they all prefer the same one, as long as it is not far busier.
  void KeepsSharedPromptsTogether() {
    const std::vector<TargetCandidate> idle = {Target("a", 0), Target("b", 0),
                                               Target("c", 0), Target("d", 0)};
    std::map<std::size_t, int> chosen;
    for (int part = 0; part < 200; ++part) {
      const std::string id = "part" + std::to_string(part);
      const TargetChoiceRequest request{9000, 6000, id};
      const auto first = ChooseTarget(request, idle, 0.1);
      const auto second = ChooseTarget(request, idle, 0.9);
      CPPUNIT_ASSERT(first->index == second->index);
      chosen[first->index] += 1;
      std::vector<TargetCandidate> loaded = idle;
      loaded[first->index].unread_tokens = 20000;
      const auto third = ChooseTarget(request, loaded, 0.1);
      CPPUNIT_ASSERT(third->index != first->index);
    }
    for (const auto& [index, count] : chosen) CPPUNIT_ASSERT(count > 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, chosen.size());
  }

  void OrdersByUrgency() {
    struct UrgencyCase {
      int route;
      std::optional<int> workspace;
      int expected;
    };
    const std::vector<UrgencyCase> cases = {
        {0, std::nullopt, 0},
        {2, std::nullopt, 2},
        {9, std::nullopt, 2},
        {0, 1, 3},
        {2, 1, 5},
        {1, 9, 9},
        {-1, -1, 0},
    };
    for (const UrgencyCase& item : cases) {
      CPPUNIT_ASSERT_EQUAL(item.expected,
                           EngineRequestPriority(item.route, item.workspace));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetChoiceTest, "unit-target-choice");

}  // namespace
}  // namespace dragonflyglade
