#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/decision/instance_choice.h"

namespace dragonflyglade {
namespace {

// Instances with the same capacity in one availability zone.
struct Group {
  std::string zone;
  int count = 0;
  double capacity = 0;
};

struct Fleet {
  std::vector<std::string> names;
  std::vector<InstanceCandidate> candidates;

  explicit Fleet(const std::vector<Group>& groups) {
    std::size_t total = 0;
    for (const Group& group : groups) total += group.count;
    this->names.reserve(total);
    for (const Group& group : groups) {
      for (int i = 0; i < group.count; ++i) {
        this->names.push_back("i-" + std::to_string(this->names.size()));
        this->candidates.push_back(
            {this->names.back(), group.zone, group.capacity});
      }
    }
  }
};

class InstanceChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceChoiceTest);
  CPPUNIT_TEST(ChoosesLargeInstances);
  CPPUNIT_TEST(ReplacesFailedInstances);
  CPPUNIT_TEST(IgnoresOrderOfCandidates);
  CPPUNIT_TEST(LimitsCapacityByProcessorAndLink);
  CPPUNIT_TEST_SUITE_END();

  // Failure: in a fleet with few large and many small instances, callers that
  // are spread evenly mostly use small instances, which have little traffic and
  // therefore no open connections to targets. The choice must consist of the
  // large instances, some of each zone, and enough of the total capacity.
  void ChoosesLargeInstances() {
    struct Case {
      std::string name;
      std::vector<Group> groups;
      std::size_t expected;
    };
    const std::vector<Case> cases = {
        {"none", {}, 0},
        {"one", {{"a", 1, 5}}, 1},
        {"equal instances are all listed", {{"a", 4, 5}, {"b", 3, 5}}, 7},
        {"few large, many small",
         {{"a", 2, 12}, {"b", 2, 12}, {"a", 18, 3}, {"b", 18, 3}},
         4},
        {"a zone without large instances", {{"a", 4, 12}, {"b", 8, 3}}, 6},
        {"the large instance is not enough", {{"a", 1, 12}, {"a", 40, 3}}, 6},
        {"large instances for twice the normal load",
         {{"a", 9, 12}, {"b", 9, 12}, {"a", 138, 3}, {"b", 138, 3}},
         18},
        {"half of the largest counts as large", {{"a", 2, 12}, {"a", 6, 6}}, 8},
    };
    for (const Case& item : cases) {
      const Fleet fleet(item.groups);
      const auto chosen = ChooseInstances(fleet.candidates);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.expected, chosen.size());
      const std::set<std::size_t> distinct(chosen.begin(), chosen.end());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, chosen.size(), distinct.size());
    }
  }

  // All large instances have failed at once. Callers must be directed to the
  // small instances that are left.
  void ReplacesFailedInstances() {
    const Fleet fleet({{"a", 10, 3}, {"b", 10, 3}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{20},
                         ChooseInstances(fleet.candidates).size());
  }

  void IgnoresOrderOfCandidates() {
    const Fleet fleet({{"a", 1, 12}, {"a", 20, 3}, {"b", 20, 3}});
    const auto names = [&](const std::vector<InstanceCandidate>& candidates) {
      std::set<std::string> result;
      for (const std::size_t index : ChooseInstances(candidates)) {
        result.insert(std::string(candidates[index].name));
      }
      return result;
    };
    std::vector<InstanceCandidate> reversed = fleet.candidates;
    std::reverse(reversed.begin(), reversed.end());
    CPPUNIT_ASSERT(names(fleet.candidates) == names(reversed));
  }

  void LimitsCapacityByProcessorAndLink() {
    CPPUNIT_ASSERT(InstanceCapacity(0.5, 200) > InstanceCapacity(0.12, 200));
    CPPUNIT_ASSERT(InstanceCapacity(0.5, 1) < InstanceCapacity(0.12, 10));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(InstanceChoiceTest,
                                      "unit-instance-choice");

}  // namespace
}  // namespace dragonflyglade
