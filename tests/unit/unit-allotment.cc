#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "dragonflyglade/decision/allotment.h"

namespace dragonflyglade {
namespace {

AllotmentInputs ViewOf(const std::vector<std::string>& names,
                       std::int64_t version) {
  AllotmentInputs view;
  view.list_version = version;
  for (const std::string& name : names) {
    view.listed.insert(name);
    view.answering[name] = 1;
    view.wanted.push_back(OwnerCandidate{name, 1});
  }
  return view;
}

Allotment Settle(Allotment allotment, AllotmentInputs view) {
  for (int i = 0; i < 10; ++i) {
    for (const OwnerShare& holder : allotment.holders) {
      view.confirmed[holder.instance] = allotment.epoch;
    }
    const auto next = PlanNextAllotment(allotment, view);
    if (!next.has_value()) return allotment;
    allotment = *next;
  }
  return allotment;
}

struct GoneCase {
  const char* name;
  std::int64_t list_version;
  bool listed;
  std::int64_t answering;  ///< incarnation; 0: silent
  bool gone;
};

class AllotmentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AllotmentTest);
  CPPUNIT_TEST(SharesAreEqualAndWhole);
  CPPUNIT_TEST(AGrowingHolderWaitsForTheShrinkingOne);
  CPPUNIT_TEST(OnlyProofEndsAHolder);
  CPPUNIT_TEST(NeverMoreThanTheWholeIsAssumed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SharesAreEqualAndWhole() {
    for (const std::size_t count : {1, 2, 3, 6}) {
      std::vector<std::string> names;
      for (std::size_t i = 0; i < count; ++i) {
        names.push_back(std::string(1, static_cast<char>('a' + i)));
      }
      const Allotment settled = Settle(Allotment{"w", 0, {}}, ViewOf(names, 1));
      CPPUNIT_ASSERT_EQUAL(count, settled.holders.size());
      CPPUNIT_ASSERT_EQUAL(kFullShareMillionths, MaxTotalInUse(settled));
    }
  }

  // A third instance joins two holders. It gets nothing before they confirm
  // that they follow the smaller shares, because they may still be spending
  // the larger ones.
  void AGrowingHolderWaitsForTheShrinkingOne() {
    const Allotment two = Settle(Allotment{"w", 0, {}}, ViewOf({"a", "b"}, 1));
    AllotmentInputs view = ViewOf({"a", "b", "c"}, 2);
    const Allotment shrunk = *PlanNextAllotment(two, view);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, ShareOf(shrunk, "c", 1));
    CPPUNIT_ASSERT(!PlanNextAllotment(shrunk, view).has_value());
    view.confirmed["a"] = shrunk.epoch;
    view.confirmed["b"] = shrunk.epoch;
    CPPUNIT_ASSERT(ShareOf(*PlanNextAllotment(shrunk, view), "c", 1) > 0);
  }

  void OnlyProofEndsAHolder() {
    const std::vector<GoneCase> cases = {
        {"silent but listed", 9, true, 0, false},
        {"a list older than its share", 4, false, 0, false},
        {"a newer list without it", 9, false, 0, true},
        {"a newer process at its address", 4, true, 8, true},
        {"the same process answers", 4, true, 7, false},
    };
    for (const GoneCase& item : cases) {
      const OwnerShare holder{"a", 7, kFullShareMillionths,
                              kFullShareMillionths, 5};
      AllotmentInputs view;
      view.list_version = item.list_version;
      if (item.listed) view.listed.insert("a");
      if (item.answering != 0) view.answering["a"] = item.answering;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.gone,
                                   HasTerminated(holder, view));
    }
  }

  // Instances come, go, restart, confirm or stay silent at random; a keeper
  // may act on any part of that. What holders may be using never exceeds the
  // whole.
  void NeverMoreThanTheWholeIsAssumed() {
    const bool holds = rc::check("shares are conserved", [] {
      Allotment allotment{"w", 0, {}};
      const int steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        AllotmentInputs view;
        view.list_version = i;
        for (const char* name : {"a", "b", "c", "d"}) {
          const auto incarnation = *rc::gen::inRange<std::int64_t>(1, 4);
          if (*rc::gen::arbitrary<bool>()) view.listed.insert(name);
          if (*rc::gen::arbitrary<bool>()) {
            view.answering[name] = incarnation;
            view.wanted.push_back(OwnerCandidate{name, incarnation});
          }
          if (*rc::gen::arbitrary<bool>()) {
            view.confirmed[name] = allotment.epoch - *rc::gen::inRange(0, 2);
          }
        }
        for (const OwnerShare& holder : allotment.holders) {
          if (*rc::gen::arbitrary<bool>()) {
            view.settled.insert({holder.instance, holder.incarnation});
          }
        }
        const auto next = PlanNextAllotment(allotment, view);
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
