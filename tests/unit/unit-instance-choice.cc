#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/decision/instance_choice.h"

namespace dragonflyglade {
namespace {

// Instances of one strength in one zone.
struct Group {
  std::string zone;
  int count = 0;
  double capacity = 0;
};

struct Fleet {
  std::vector<std::string> names;
  std::vector<InstanceCandidate> offers;

  explicit Fleet(const std::vector<Group>& groups) {
    std::size_t whole = 0;
    for (const Group& group : groups) whole += group.count;
    this->names.reserve(whole);
    for (const Group& group : groups) {
      for (int i = 0; i < group.count; ++i) {
        this->names.push_back("i-" + std::to_string(this->names.size()));
        this->offers.push_back(
            {this->names.back(), group.zone, group.capacity});
      }
    }
  }
};

class InstanceChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceChoiceTest);
  CPPUNIT_TEST(SendsCallersToStrongInstances);
  CPPUNIT_TEST(ReplacesThoseThatAreGone);
  CPPUNIT_TEST(AgreesWhateverTheOrderOfOffers);
  CPPUNIT_TEST(TakesTheNarrowerOfProcessorAndLink);
  CPPUNIT_TEST_SUITE_END();

  // Sent to all alike, callers of a fleet with few strong and many weak
  // instances mostly meet weak ones, each with little traffic of its own and
  // no kept connections. Listed must be the strong ones, some of each zone,
  // and enough of the whole.
  void SendsCallersToStrongInstances() {
    struct Case {
      std::string name;
      std::vector<Group> groups;
      std::size_t listed;
    };
    const std::vector<Case> cases = {
        {"none", {}, 0},
        {"one", {{"a", 1, 5}}, 1},
        {"equal ones are listed whole", {{"a", 4, 5}, {"b", 3, 5}}, 7},
        {"few strong, many weak",
         {{"a", 2, 12}, {"b", 2, 12}, {"a", 18, 3}, {"b", 18, 3}},
         4},
        {"a zone without strong ones", {{"a", 4, 12}, {"b", 8, 3}}, 6},
        {"a strong one is not enough", {{"a", 1, 12}, {"a", 40, 3}}, 6},
        {"strong ones for twice an ordinary day",
         {{"a", 9, 12}, {"b", 9, 12}, {"a", 138, 3}, {"b", 138, 3}},
         18},
        {"half as strong counts as strong", {{"a", 2, 12}, {"a", 6, 6}}, 8},
    };
    for (const Case& item : cases) {
      const Fleet fleet(item.groups);
      const auto chosen = ChooseInstances(fleet.offers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.listed, chosen.size());
      const std::set<std::size_t> once(chosen.begin(), chosen.end());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, chosen.size(), once.size());
    }
  }

  // All strong instances are killed at once. Callers that ask again must be
  // sent to the weak ones, of each zone, with a fifth of what is left.
  void ReplacesThoseThatAreGone() {
    const Fleet fleet({{"a", 10, 3}, {"b", 10, 3}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, ChooseInstances(fleet.offers).size());
  }

  void AgreesWhateverTheOrderOfOffers() {
    const Fleet fleet({{"a", 1, 12}, {"a", 20, 3}, {"b", 20, 3}});
    const auto names = [&](const std::vector<InstanceCandidate>& offers) {
      std::set<std::string> result;
      for (const std::size_t index : ChooseInstances(offers)) {
        result.insert(std::string(offers[index].name));
      }
      return result;
    };
    std::vector<InstanceCandidate> reversed = fleet.offers;
    std::reverse(reversed.begin(), reversed.end());
    CPPUNIT_ASSERT(names(fleet.offers) == names(reversed));
  }

  void TakesTheNarrowerOfProcessorAndLink() {
    CPPUNIT_ASSERT(InstanceCapacity(0.5, 200) > InstanceCapacity(0.12, 200));
    CPPUNIT_ASSERT(InstanceCapacity(0.5, 1) < InstanceCapacity(0.12, 10));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(InstanceChoiceTest,
                                      "unit-instance-choice");

}  // namespace
}  // namespace dragonflyglade
