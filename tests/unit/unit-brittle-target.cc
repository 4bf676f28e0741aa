#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/brittle_target.h"

namespace dragonflyglade {
namespace {

constexpr Instant kStart = absl::Seconds(100);
constexpr int kBrittleAfterMs = 3000;
constexpr int kWorkMs = 60;
// A decline of another instance is known after a report and a summary.
constexpr int kNoticeMs = 220;

Instant At(int ms) { return kStart + absl::Milliseconds(ms); }

// A target with room for a few requests beyond its slots, and for fewer of them
// once it is brittle. It falls over if it declines too many requests in a
// second, and is back after some seconds.
class FragileTarget {
 public:
  FragileTarget(int slots, int room, int declines_per_second)
      : slots(slots), room(room), declines_per_second(declines_per_second) {}

  bool IsDown(int ms) const { return ms < this->back_at; }

  // Returns whether it takes the request.
  bool Offer(int ms) {
    while (!this->ends.empty() && this->ends.front() <= ms) {
      this->ends.pop_front();
    }
    const int waiting = ms >= kBrittleAfterMs ? 0 : this->room;
    if (static_cast<int>(this->ends.size()) < this->slots + waiting) {
      const int begin = static_cast<int>(this->ends.size()) < this->slots
                            ? ms
                            : this->ends[this->ends.size() - this->slots];
      this->ends.push_back(begin + kWorkMs);
      return true;
    }
    this->Decline(ms);
    return false;
  }

  int EndOfLast() const { return this->ends.back(); }
  int falls = 0;

 private:
  void Decline(int ms) {
    while (!this->declines.empty() && this->declines.front() <= ms - 1000) {
      this->declines.pop_front();
    }
    this->declines.push_back(ms);
    const bool too_many =
        static_cast<int>(this->declines.size()) > this->declines_per_second;
    if (!too_many || ms < kBrittleAfterMs) return;
    this->falls += 1;
    this->back_at = ms + 4000;
    this->declines.clear();
    this->ends.clear();
  }

  const int slots;
  const int room;
  const int declines_per_second;
  int back_at = 0;
  std::deque<int> ends;
  std::deque<int> declines;
};

struct Load {
  std::string name;
  int instances = 0;
  int targets = 0;
  int slots = 0;
  int declines_per_second = 0;
  double of_capacity = 0;  ///< requests, of what the targets can run
};

struct Outcome {
  int falls = 0;
  int served = 0;
  int possible = 0;  ///< requests, as far as the targets could have run them
};

// Instances that choose the target with the fewest own requests in flight and
// do not send a declined request again. Each learns of the others' declines
// after a while.
Outcome Play(const Load& load, bool heeds_statement) {
  constexpr int kEndMs = 30'000;
  struct View {
    BrittleTarget brittle;
    std::deque<int> ends;
    int avoid_until = 0;
  };
  std::vector<std::string> names;
  names.reserve(load.instances);
  for (int i = 0; i < load.instances; ++i) names.push_back(std::to_string(i));
  std::vector<std::string> ids;
  ids.reserve(load.targets);
  for (int t = 0; t < load.targets; ++t) ids.push_back("t" + std::to_string(t));
  std::vector<SlotOwner> owners;
  owners.reserve(load.targets);
  for (const std::string& id : ids) owners.push_back({id, load.slots});
  std::vector<FragileTarget> targets(
      load.targets,
      FragileTarget(load.slots, load.slots, load.declines_per_second));
  std::vector<std::vector<View>> views(load.instances,
                                       std::vector<View>(load.targets));
  for (auto& view : views) {
    for (View& target : view) {
      target.brittle.RecordStatement(load.declines_per_second, kStart);
    }
  }
  std::vector<std::vector<SlotShare>> shares(load.instances);
  for (int i = 0; i < load.instances; ++i) {
    for (const std::string& id : ids) {
      shares[i].push_back(ShareOfSlots(id, owners, names[i], names));
    }
  }
  struct Notice {
    int at = 0;
    int target = 0;
  };
  std::deque<Notice> notices;
  std::mt19937 random(11);
  const double per_ms =
      load.of_capacity * load.targets * load.slots / double{kWorkMs};
  std::poisson_distribution<int> arrivals(per_ms);
  std::uniform_int_distribution<int> pick(0, load.instances - 1);
  Outcome outcome;
  for (int ms = 0; ms < kEndMs; ++ms) {
    while (!notices.empty() && notices.front().at + kNoticeMs <= ms) {
      for (auto& view : views) {
        view[notices.front().target].brittle.RecordDeclined(
            At(notices.front().at));
      }
      notices.pop_front();
    }
    const int count = arrivals(random);
    for (int n = 0; n < count; ++n) {
      const int self = pick(random);
      int best = -1;
      for (int t = 0; t < load.targets; ++t) {
        View& view = views[self][t];
        while (!view.ends.empty() && view.ends.front() <= ms) {
          view.ends.pop_front();
        }
        if (ms < view.avoid_until || targets[t].IsDown(ms)) continue;
        const auto in_flight = static_cast<int>(view.ends.size());
        const int most = view.brittle.MaxInFlight(shares[self][t], At(ms));
        if (heeds_statement && in_flight >= most) {
          continue;
        }
        const bool fewer =
            best >= 0 && view.ends.size() < views[self][best].ends.size();
        if (best < 0 || fewer ||
            (random() % 2 == 0 &&
             view.ends.size() == views[self][best].ends.size())) {
          best = t;
        }
      }
      if (best < 0) continue;
      View& view = views[self][best];
      if (targets[best].Offer(ms)) {
        view.ends.push_back(targets[best].EndOfLast());
        outcome.served += 1;
        continue;
      }
      view.brittle.RecordDeclined(At(ms));
      view.avoid_until = ms + (heeds_statement ? 1000 : kWorkMs);
      notices.push_back({ms, best});
    }
  }
  for (const FragileTarget& target : targets) outcome.falls += target.falls;
  outcome.possible =
      static_cast<int>(std::min(1.0, load.of_capacity) * load.targets *
                       load.slots * kEndMs / kWorkMs);
  return outcome;
}

class BrittleTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrittleTargetTest);
  CPPUNIT_TEST(DoesNotMakeBrittleTargetsFallOver);
  CPPUNIT_TEST(DividesLessAfterDeclines);
  CPPUNIT_TEST(SharesSlotsEvenly);
  CPPUNIT_TEST(KeepsTheNewestStatement);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against brittle targets that fall over in turn under a crowd, in
  // fleets of 6 and 82 instances, and with as many as slots.
  void DoesNotMakeBrittleTargetsFallOver() {
    const std::vector<Load> loads = {
        {"usual", 6, 3, 6, 4, 0.15},
        {"full", 6, 3, 6, 4, 1},
        {"crowd", 6, 3, 6, 4, 3},
        {"crowd, few declines", 6, 3, 6, 2, 3},
        {"crowd, four targets", 7, 4, 6, 5, 2},
        {"usual, scarce slots", 20, 3, 6, 4, 0.2},
        {"crowd, scarce slots", 20, 3, 6, 4, 3},
        {"usual, 82 instances", 82, 24, 6, 4, 0.2},
        {"crowd, 82 instances", 82, 24, 6, 4, 3},
        {"engines", 6, 18, 64, 6, 1.5},
    };
    for (const Load& load : loads) {
      const Outcome outcome = Play(load, true);
      const double allowed = 2 + load.targets / 10.0;
      CPPUNIT_ASSERT_MESSAGE(
          load.name + ": fell over " + std::to_string(outcome.falls),
          outcome.falls <= allowed);
      const Outcome before = Play(load, false);
      CPPUNIT_ASSERT_MESSAGE(load.name + ": served " +
                                 std::to_string(outcome.served) + " of " +
                                 std::to_string(outcome.possible) +
                                 ", heedless " + std::to_string(before.served),
                             3 * outcome.served >= outcome.possible);
      // The load must be one that would do harm.
      if (load.of_capacity >= 2) CPPUNIT_ASSERT(before.falls > allowed);
    }
  }

  // Guards against a target that goes on declining, and one that gets little
  // for ever after.
  void DividesLessAfterDeclines() {
    const std::vector<std::string> listed = {"one", "two"};
    const std::vector<SlotOwner> targets = {{"t", 8}};
    const SlotShare share = ShareOfSlots("t", targets, "one", listed);
    BrittleTarget target;
    target.RecordStatement(3, At(0));
    const auto max_at = [&](int ms) {
      return target.MaxInFlight(share, At(ms));
    };
    CPPUNIT_ASSERT_EQUAL(4, max_at(0));
    target.RecordDeclined(At(0));
    target.RecordDeclined(At(100));
    CPPUNIT_ASSERT_EQUAL(4, max_at(100));
    target.RecordDeclined(At(1000));
    CPPUNIT_ASSERT_EQUAL(4, max_at(1000));
    target.RecordDeclined(At(2000));
    CPPUNIT_ASSERT_EQUAL(2, max_at(2000));
    CPPUNIT_ASSERT_EQUAL(4, max_at(8000));
  }

  // Guards against instances that have no share though there is enough for all.
  void SharesSlotsEvenly() {
    struct Case {
      int instances;
      std::vector<SlotOwner> targets;
    };
    const std::vector<Case> cases = {
        {6, {{"a", 6}, {"b", 6}, {"c", 6}}},
        {20, {{"a", 6}, {"b", 6}, {"c", 6}}},
        {1, {{"a", 3}}},
        {7, {{"b", 1}, {"a", 64}, {"c", 2}}},
    };
    for (const Case& item : cases) {
      std::vector<std::string> listed;
      listed.reserve(item.instances);
      for (int i = 0; i < item.instances; ++i) {
        listed.push_back(std::to_string(i));
      }
      int all = 0;
      for (const SlotOwner& target : item.targets) all += target.slots;
      std::set<std::pair<std::string_view, int>> dealt;
      for (const std::string& self : listed) {
        int own = 0;
        for (const SlotOwner& target : item.targets) {
          const SlotShare share =
              ShareOfSlots(target.id, item.targets, self, listed);
          CPPUNIT_ASSERT_EQUAL(all < item.instances, share.scarce);
          for (const int slot : share.slots) {
            CPPUNIT_ASSERT(dealt.insert({target.id, slot}).second);
            own += 1;
          }
        }
        CPPUNIT_ASSERT(own >= all / item.instances);
        CPPUNIT_ASSERT(own <= all / item.instances + 1);
      }
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(all), dealt.size());
      CPPUNIT_ASSERT(
          ShareOfSlots("a", item.targets, "unlisted", listed).slots.empty());
    }
  }

  void KeepsTheNewestStatement() {
    BrittleTarget target;
    CPPUNIT_ASSERT(!target.IsBrittle());
    CPPUNIT_ASSERT(target.RecordStatement(3, At(10)));
    CPPUNIT_ASSERT(!target.RecordStatement(std::nullopt, At(5)));
    CPPUNIT_ASSERT(target.IsBrittle());
    CPPUNIT_ASSERT(target.RecordStatement(std::nullopt, At(20)));
    CPPUNIT_ASSERT(!target.IsBrittle() && target.EverBrittle());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BrittleTargetTest, "unit-brittle-target");

}  // namespace
}  // namespace dragonflyglade
