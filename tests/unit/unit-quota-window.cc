#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/quota_participants.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "tests/unit/spending_by_steps.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(8);
const QuotaLimit kLimit{1000, 1000};
// No excess, so that the figures below are the limit's own.
const QuotaTolerance kExact{kWindow, 0, 0, 1};
const double kWhole = 9000;  ///< of a window: eight seconds and the burst

double TakeAll(QuotaWindows& quotas, double step) {
  double taken = 0;
  while (quotas.Take("w", kLimit, step).admitted) taken += step;
  return taken;
}

struct ShareCase {
  const char* what;
  int listed;
  std::optional<FleetSpending> fleet;
  double expected;
};

// The most tokens that a flooding workspace spends within a window, of a fleet
// that is killed and starts again.
double PlayKillInAFlood(std::mt19937& random, const QuotaTolerance& allowance,
                        const QuotaLimit& limit) {
  constexpr int kInstances = 8;
  constexpr double kRequest = 700;    // tokens
  constexpr double kUsualPart = 0.5;  // of the rate
  constexpr int kSteps = 150;         // of 200 ms
  const auto between = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  const int killed = 60 + between(0, 10);
  const int back = killed + between(3, 10);
  const int flood = killed - between(0, 30);
  const int recorded = killed - between(0, 3);
  const double times = between(3, 8);
  ManualClock manual;
  auto one = std::make_unique<QuotaWindows>(allowance, true, Clock(&manual));
  std::vector<std::unique_ptr<QuotaWindows>> after;
  double record = 0;
  std::vector<double> spent(kSteps, 0);
  for (int step = 0; step < kSteps; ++step) {
    const double rate = kUsualPart * limit.rate * (step >= flood ? times : 1);
    if (step == recorded) record = one->Spent()["w"];
    if (step == back) {
      for (int i = 0; i < kInstances; ++i) {
        after.push_back(
            std::make_unique<QuotaWindows>(allowance, false, Clock(&manual)));
        after.back()->SetParticipantCount(kInstances);
        after.back()->SetPriorSpending({{"w", 1.3 * record}}, true);
      }
    }
    for (double asked = 0; asked < rate / 5; asked += kRequest) {
      QuotaWindows* quotas = step < killed ? one.get() : nullptr;
      if (step >= back) quotas = after[between(0, kInstances - 1)].get();
      if (quotas == nullptr) continue;
      if (quotas->Take("w", limit, kRequest).admitted) spent[step] += kRequest;
    }
    manual.Advance(absl::Milliseconds(200));
  }
  return MostInAWindow(spent, kWindow / absl::Milliseconds(200));
}

class QuotaWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaWindowTest);
  CPPUNIT_TEST(SpendsItsPart);
  CPPUNIT_TEST(SlidesOutOfTheWindow);
  CPPUNIT_TEST(GrowsFromNothingAfterARestart);
  CPPUNIT_TEST(GoesOnFromWhatIsKnownToBeSpent);
  CPPUNIT_TEST(KeepsTheAllowanceWhenAllAreKilledInAFlood);
  CPPUNIT_TEST(SaysWhenToComeBack);
  CPPUNIT_TEST(GivesBack);
  CPPUNIT_TEST(KeepsACountThatFellForAWhile);
  CPPUNIT_TEST(KeepsTheLimitOnBothSidesOfAPartition);
  CPPUNIT_TEST(AdmitsALargeRequestWhileTheFleetHasRoom);
  CPPUNIT_TEST(KeepsTheAllowanceUnderAFlood);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpendsItsPart() {
    const std::vector<ShareCase> cases = {
        {"alone", 1, std::nullopt, kWhole},
        {"an equal part, nothing heard", 3, std::nullopt, kWhole / 3},
        {"a part of what the fleet has left", 3, FleetSpending{6000, 0, 3},
         1000},
        {"nothing is left", 3, FleetSpending{9000, 0, 3}, 0},
        {"two of four are heard: half of the limit is theirs", 4,
         FleetSpending{0, 0, 2, 0, 0.5}, kWhole / 2 / 4},
        {"one process before may have spent its part", 3,
         FleetSpending{0, 0, 3, 1}, kWhole * 2 / 3 / 3},
    };
    for (const ShareCase& item : cases) {
      ManualClock manual;
      QuotaWindows quotas(kExact, true, Clock(&manual));
      quotas.SetParticipantCount(item.listed);
      if (item.fleet.has_value()) quotas.SetFleetSpending("w", *item.fleet);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(item.what, item.expected,
                                           TakeAll(quotas, 1), 2);
    }
  }

  void SlidesOutOfTheWindow() {
    ManualClock manual;
    QuotaWindows quotas(kExact, true, Clock(&manual));
    TakeAll(quotas, 10);
    manual.Advance(kWindow - absl::Milliseconds(200));
    CPPUNIT_ASSERT(!quotas.Take("w", kLimit, 10).admitted);
    manual.Advance(absl::Milliseconds(400));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kWhole, TakeAll(quotas, 10), 10);
  }

  // All instances are killed while a workspace floods, and start again with
  // no memory of what was spent. Were they to begin with a whole window, the
  // workspace would get twice its quota within it.
  void GrowsFromNothingAfterARestart() {
    ManualClock manual;
    QuotaWindows quotas(kExact, false, Clock(&manual));
    CPPUNIT_ASSERT_EQUAL(0.0, TakeAll(quotas, 10));
    manual.Advance(kWindow / 2);
    const double half = TakeAll(quotas, 10);
    CPPUNIT_ASSERT(half > 0 && half < kWhole / 2);
    manual.Advance(kWindow + absl::Seconds(1));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kWhole, TakeAll(quotas, 10), 10);
  }

  // Callers of a workspace far inside its quota come right after all instances
  // were killed. With the spending known they are served at once.
  void GoesOnFromWhatIsKnownToBeSpent() {
    struct KnownCase {
      const char* what;
      double spent;
      double expected;
    };
    const std::vector<KnownCase> cases = {
        {"little", kWhole / 5, kWhole * 4 / 5},
        {"all", kWhole, 0},
        {"more than all, with what is added for doubt", 2 * kWhole, 0},
    };
    for (const KnownCase& item : cases) {
      ManualClock manual;
      QuotaWindows quotas(kExact, false, Clock(&manual));
      quotas.SetPriorSpending({{"w", item.spent}}, true);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(item.what, item.expected,
                                           TakeAll(quotas, 1), 2);
    }
  }

  // A workspace sends several times its rate; all instances are killed at some
  // moment, are back within two seconds and know what had been spent half a
  // second or less before their end. Nobody sums up. What the workspace spends
  // on both sides of that moment stays within what the fleet may exceed.
  void KeepsTheAllowanceWhenAllAreKilledInAFlood() {
    constexpr int kSeeds = 200;
    const QuotaTolerance allowance{kWindow, 0.1, 7500};
    const QuotaLimit limit{50000, 50000};
    const double allowed = 450000 * 1.1 + 7500;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      std::mt19937 random(seed);
      const double most = PlayKillInAFlood(random, allowance, limit);
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed) + " ran " + std::to_string(most),
          most <= allowed);
    }
  }

  void SaysWhenToComeBack() {
    ManualClock manual;
    QuotaWindows quotas(kExact, true, Clock(&manual));
    TakeAll(quotas, 1000);
    const QuotaVerdict verdict = quotas.Take("w", kLimit, 500);
    CPPUNIT_ASSERT(!verdict.admitted);
    CPPUNIT_ASSERT(verdict.retry_after == absl::Milliseconds(500));
    CPPUNIT_ASSERT(quotas.Take("w", QuotaLimit{}, 1e9).admitted);
  }

  void GivesBack() {
    ManualClock manual;
    QuotaWindows quotas(kExact, true, Clock(&manual));
    CPPUNIT_ASSERT(quotas.Take("w", kLimit, 9000).admitted);
    CPPUNIT_ASSERT(!quotas.Take("w", kLimit, 100).admitted);
    quotas.GiveBack("w", 4000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, TakeAll(quotas, 10), 10);
  }

  // An instance that restarts, or that is cut off from the store, leaves the
  // list of instances and goes on spending its part. Two of six were cut off
  // for twelve seconds; the others took their parts over after eight, and
  // 1,756,468 tokens ran of 1,677,833 in a window.
  void KeepsACountThatFellForAWhile() {
    ManualClock manual;
    QuotaWindows quotas(kExact, true, Clock(&manual));
    quotas.SetParticipantCount(3);
    manual.Advance(absl::Seconds(1));
    quotas.SetParticipantCount(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kWhole / 3, TakeAll(quotas, 1), 2);
    manual.Advance(2 * kWindow);
    quotas.SetParticipantCount(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kWhole / 3, TakeAll(quotas, 1), 2);
    manual.Advance(absl::Seconds(20));
    quotas.SetParticipantCount(1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kWhole, TakeAll(quotas, 1), 2);
  }

  // Two of seven instances are cut off together with the one that sums up.
  // Callers reach both sides and ask for more than the quota on each. No span
  // of a window's length may see more than the quota, whatever the sides
  // cannot know of each other.
  void KeepsTheLimitOnBothSidesOfAPartition() {
    constexpr int kInstances = 7;
    constexpr int kCutOff = 2;
    const bool kept = rc::check("both sides together stay inside", [] {
      ManualClock manual;
      std::vector<std::unique_ptr<QuotaWindows>> all;
      for (int i = 0; i < kInstances; ++i) {
        all.push_back(
            std::make_unique<QuotaWindows>(kExact, true, Clock(&manual)));
        all.back()->SetParticipantCount(kInstances);
      }
      const std::vector<std::string_view> names = {"0", "1", "2", "3",
                                                   "4", "5", "6"};
      QuotaParticipants owners(kWindow, Clock(&manual));
      owners.Follow(names);
      const int steps = *rc::gen::inRange(20, 60);
      std::vector<double> spent(steps, 0);
      for (int step = 0; step < steps; ++step) {
        for (int i = 0; i < kInstances; ++i) {
          const double tokens = *rc::gen::inRange(1, 40);
          for (int ask = 0; ask < 30; ++ask) {
            if (all[i]->Take("w", kLimit, tokens).admitted) {
              spent[step] += tokens;
            }
          }
        }
        for (int side = 0; side < 2; ++side) {
          const int from = side == 0 ? 0 : kCutOff;
          const int to = side == 0 ? kCutOff : kInstances;
          double total = 0;
          for (int i = from; i < to; ++i) total += all[i]->Spent()["w"];
          const double missing =
              owners.MissingPart({names.begin() + from, names.begin() + to});
          for (int i = from; i < to; ++i) {
            all[i]->SetFleetSpending(
                "w", {total, all[i]->Spent()["w"], to - from, 0, missing});
          }
        }
        manual.Advance(absl::Milliseconds(200));
      }
      RC_ASSERT(MostInAWindow(spent, kWindow / absl::Milliseconds(200)) <=
                kWhole);
    });
    CPPUNIT_ASSERT(kept);
  }

  // One of seven instances gets a request of 1.5 equal parts of what is left.
  // Refused, its caller would be turned away although the workspace is inside
  // its quota.
  void AdmitsALargeRequestWhileTheFleetHasRoom() {
    ManualClock manual;
    QuotaTolerance allowance = kExact;
    allowance.at_once = 2;
    QuotaWindows quotas(allowance, true, Clock(&manual));
    quotas.SetParticipantCount(7);
    quotas.SetFleetSpending("w", {kWhole - 7000, 0, 7, 0});
    CPPUNIT_ASSERT(quotas.Take("w", kLimit, 1500).admitted);
    CPPUNIT_ASSERT(!quotas.Take("w", kLimit, 10).admitted);
  }

  // Seven instances are asked for eight times the quota in requests of the
  // usual size; news go round each 200 ms. The window's limit with its whole
  // allowance holds.
  void KeepsTheAllowanceUnderAFlood() {
    constexpr int kInstances = 7;
    const QuotaLimit limit{100000, 100000};
    const QuotaTolerance allowance{kWindow, 0.1, 100000, 2};
    const double allowed = 900000 * 1.1 + 100000;
    const bool kept = rc::check("the allowance holds", [&] {
      ManualClock manual;
      std::vector<std::unique_ptr<QuotaWindows>> all;
      for (int i = 0; i < kInstances; ++i) {
        all.push_back(
            std::make_unique<QuotaWindows>(allowance, true, Clock(&manual)));
        all.back()->SetParticipantCount(kInstances);
      }
      const int steps = *rc::gen::inRange(50, 90);
      std::vector<double> spent(steps, 0);
      for (int step = 0; step < steps; ++step) {
        for (auto& quotas : all) {
          const double asked = 8 * limit.rate * 0.2 / kInstances;
          double offered = 0;
          while (offered < asked) {
            const double tokens = *rc::gen::inRange(2000, 15000);
            offered += tokens;
            if (quotas->Take("w", limit, tokens).admitted) {
              spent[step] += tokens;
            }
          }
        }
        double total = 0;
        for (auto& quotas : all) total += quotas->Spent()["w"];
        for (auto& quotas : all) {
          quotas->SetFleetSpending(
              "w", {total, quotas->Spent()["w"], kInstances, 0});
        }
        manual.Advance(absl::Milliseconds(200));
      }
      RC_ASSERT(MostInAWindow(spent, kWindow / absl::Milliseconds(200)) <=
                allowed);
    });
    CPPUNIT_ASSERT(kept);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(QuotaWindowTest, "unit-quota-window");

}  // namespace
}  // namespace dragonflyglade
