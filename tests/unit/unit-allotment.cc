#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "dragonflyglade/decision/allotment.h"

namespace dragonflyglade {
namespace {

AllotmentInputs InputsWithAll(const std::vector<std::string>& names,
                              std::int64_t version) {
  AllotmentInputs inputs;
  inputs.list_version = version;
  for (const std::string& name : names) {
    inputs.listed.insert(name);
    inputs.responding[name] = 1;
    inputs.candidates.push_back(OwnerCandidate{name, 1});
  }
  return inputs;
}

Allotment ApplyUntilStable(Allotment allotment, AllotmentInputs inputs) {
  for (int i = 0; i < 10; ++i) {
    for (const OwnerShare& owner : allotment.owners) {
      inputs.confirmed_epochs[owner.instance] = allotment.epoch;
    }
    const auto next = PlanNextAllotment(allotment, inputs);
    if (!next.has_value()) return allotment;
    allotment = *next;
  }
  return allotment;
}

struct TerminationCase {
  const char* name;
  std::int64_t list_version;
  bool listed;
  std::int64_t responding;  ///< incarnation that responds; 0: none does
  bool terminated;
};

class AllotmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AllotmentTest);
  CPPUNIT_TEST(SharesAreEqualAndSumToTheWhole);
  CPPUNIT_TEST(GrowsOnlyAfterShrinkingOwnersConfirm);
  CPPUNIT_TEST(TerminationNeedsProof);
  CPPUNIT_TEST(SharesInUseNeverExceedTheWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SharesAreEqualAndSumToTheWhole() {
    for (const std::size_t count : {1, 2, 3, 6}) {
      std::vector<std::string> names;
      for (std::size_t i = 0; i < count; ++i) {
        names.push_back(std::string(1, static_cast<char>('a' + i)));
      }
      const Allotment stable =
          ApplyUntilStable(Allotment{"w", 0, {}}, InputsWithAll(names, 1));
      CPPUNIT_ASSERT_EQUAL(count, stable.owners.size());
      CPPUNIT_ASSERT_EQUAL(kFullShareMillionths, MaxTotalInUse(stable));
    }
  }

  // Failure: a third instance joins two owners and gets a share while they
  // still spend their larger ones, so that more than the whole is in use. It
  // gets its share only after both have confirmed the smaller shares.
  void GrowsOnlyAfterShrinkingOwnersConfirm() {
    const Allotment two =
        ApplyUntilStable(Allotment{"w", 0, {}}, InputsWithAll({"a", "b"}, 1));
    AllotmentInputs inputs = InputsWithAll({"a", "b", "c"}, 2);
    const Allotment shrunk = *PlanNextAllotment(two, inputs);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, ShareOf(shrunk, "c", 1));
    CPPUNIT_ASSERT(!PlanNextAllotment(shrunk, inputs).has_value());
    inputs.confirmed_epochs["a"] = shrunk.epoch;
    inputs.confirmed_epochs["b"] = shrunk.epoch;
    CPPUNIT_ASSERT(ShareOf(*PlanNextAllotment(shrunk, inputs), "c", 1) > 0);
  }

  void TerminationNeedsProof() {
    const std::vector<TerminationCase> cases = {
        {"unresponsive but listed", 9, true, 0, false},
        {"a list older than its share", 4, false, 0, false},
        {"a newer list without it", 9, false, 0, true},
        {"a newer process at its address", 4, true, 8, true},
        {"the same process answers", 4, true, 7, false},
    };
    for (const TerminationCase& item : cases) {
      const OwnerShare owner{"a", 7, kFullShareMillionths, kFullShareMillionths,
                             5};
      AllotmentInputs inputs;
      inputs.list_version = item.list_version;
      if (item.listed) inputs.listed.insert("a");
      if (item.responding != 0) inputs.responding["a"] = item.responding;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.terminated,
                                   HasTerminated(owner, inputs));
    }
  }

  // Instances join, terminate, restart, confirm or do not respond at random,
  // and the next allotment is computed from any combination of that. The shares
  // that may be in use never exceed the whole.
  void SharesInUseNeverExceedTheWhole() {
    const bool holds = rc::check("shares are conserved", [] {
      Allotment allotment{"w", 0, {}};
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        AllotmentInputs inputs;
        inputs.list_version = i;
        for (const char* name : {"a", "b", "c", "d"}) {
          const auto incarnation = *rc::gen::inRange<std::int64_t>(1, 4);
          if (*rc::gen::arbitrary<bool>()) inputs.listed.insert(name);
          if (*rc::gen::arbitrary<bool>()) {
            inputs.responding[name] = incarnation;
            inputs.candidates.push_back(OwnerCandidate{name, incarnation});
          }
          if (*rc::gen::arbitrary<bool>()) {
            inputs.confirmed_epochs[name] =
                allotment.epoch - *rc::gen::inRange(0, 2);
          }
        }
        for (const OwnerShare& owner : allotment.owners) {
          if (*rc::gen::arbitrary<bool>()) {
            inputs.reclaimable.insert({owner.instance, owner.incarnation});
          }
        }
        const auto next = PlanNextAllotment(allotment, inputs);
        if (next.has_value()) allotment = *next;
        RC_ASSERT(MaxTotalInUse(allotment) <= kFullShareMillionths);
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(AllotmentTest, "unit-allotment");

}  // namespace
}  // namespace dragonflyglade
