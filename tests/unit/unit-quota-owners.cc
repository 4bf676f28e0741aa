#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/quota_participants.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "tests/unit/spending_by_steps.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(8);
constexpr absl::Duration kStep = absl::Milliseconds(200);
const QuotaLimit kLimit{100000, 100000};
const QuotaTolerance kAllowance{kWindow, 0.1, 100000};
const double kAllowed = 900000 * 1.1 + 100000;
constexpr int kStrong = 18;
constexpr int kWeak = 80;
// Weak instances that are listed for each strong one that left the list.
constexpr int kWeakForStrong = 4;
// The store takes a lost instance's entry away after its lease.
constexpr int kLeaseSteps = 10;
constexpr int kSeeds = 20;

// Strong instances that callers are sent to, and weak ones that are listed
// where strong ones leave the store's list. The first one sums up.
class Fleet {
 public:
  Fleet() : owners(kWindow, Clock(&this->manual)) {
    for (int i = 0; i < kStrong + kWeak; ++i) {
      Instance instance;
      instance.name = std::to_string(i);
      instance.quotas = std::make_unique<QuotaWindows>(kAllowance, true,
                                                       Clock(&this->manual));
      this->instances.push_back(std::move(instance));
    }
    this->ListAnew();
    this->FollowLists();
  }

  /// Strong instances lose the store.
  /// @param heard whether they still report to the one that sums up
  void Lose(int count, bool heard) {
    for (int i = kStrong - count; i < kStrong; ++i) {
      this->instances[i].in_store = false;
      this->instances[i].heard = heard;
    }
    this->list_in = kLeaseSteps;
  }

  void Return() {
    for (Instance& instance : this->instances) {
      instance.in_store = true;
      instance.heard = true;
    }
    this->list_in = 1;
  }

  bool Request(int at, double tokens) {
    Instance& instance = this->instances[at];
    QuotaWindows& quotas = *instance.quotas;
    bool admitted = quotas.AdmitWithoutGrant("w", kLimit, tokens).admitted;
    if (!admitted && !instance.heard) {
      admitted = quotas.Take("w", kLimit, tokens).admitted;
    } else if (!admitted) {
      FleetSpending spend = this->sums;
      spend.total += this->granted;
      admitted =
          this->instances.front().quotas->Grant(kLimit, tokens, spend).admitted;
      if (admitted) this->granted += tokens;
      if (admitted) quotas.RecordGrant("w", tokens);
    }
    if (admitted) this->spent.back() += tokens;
    return admitted;
  }

  void Step() {
    if (this->list_in > 0 && --this->list_in == 0) this->ListAnew();
    this->FollowLists();
    this->SumUp();
    for (Instance& instance : this->instances) {
      if (!instance.heard) continue;
      FleetSpending spend = this->sums;
      spend.own = instance.quotas->Spent()["w"];
      instance.quotas->SetFleetSpending("w", spend);
    }
    this->manual.Advance(kStep);
    this->spent.push_back(0);
  }

  double MostSpentInAWindow() const {
    return MostInAWindow(this->spent, kWindow / kStep);
  }

 private:
  struct Instance {
    std::string name;
    std::unique_ptr<QuotaWindows> quotas;
    bool in_store = true;
    bool heard = true;
    double reported = 0;  ///< spent in the window, by its last report
    Instant reported_at;
  };

  void ListAnew() {
    this->listed.clear();
    int weak = 0;
    for (int i = 0; i < kStrong; ++i) {
      if (this->instances[i].in_store) {
        this->listed.push_back(this->instances[i].name);
      } else {
        weak += kWeakForStrong;
      }
    }
    for (int i = 0; i < weak; ++i) {
      this->listed.push_back(this->instances[kStrong + i].name);
    }
  }

  // Whoever neither reads the store nor is heard keeps to the list it knew.
  void FollowLists() {
    this->owners.Follow(this->listed);
    const std::set<std::string_view> names(this->listed.begin(),
                                           this->listed.end());
    for (Instance& instance : this->instances) {
      if (!instance.in_store && !instance.heard) continue;
      instance.quotas->SetParticipantCount(
          static_cast<int>(this->listed.size()));
      instance.quotas->SetListed(names.count(instance.name) > 0);
    }
  }

  void SumUp() {
    this->granted = 0;
    this->sums = FleetSpending();
    this->sums.instances = 0;
    const std::set<std::string_view> names(this->listed.begin(),
                                           this->listed.end());
    std::set<std::string_view> heard;
    for (Instance& instance : this->instances) {
      if (instance.heard) {
        heard.insert(instance.name);
        instance.reported = instance.quotas->Spent()["w"];
        instance.reported_at = this->manual.Now();
        this->sums.instances += names.count(instance.name) > 0 ? 1 : 0;
      }
      if (this->manual.Now() - instance.reported_at <= kWindow) {
        this->sums.total += instance.reported;
      }
    }
    this->sums.missing_part = this->owners.MissingPart(heard);
  }

  ManualClock manual;
  QuotaParticipants owners;
  std::vector<Instance> instances;
  std::vector<std::string_view> listed;
  FleetSpending sums;
  double granted = 0;  ///< since the last sums
  int list_in = 0;     ///< steps until the list changes
  std::vector<double> spent = {0};
};

class QuotaOwnersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaOwnersTest);
  CPPUNIT_TEST(RefusesNobodyWhileTheStoreTurnsInstancesAway);
  CPPUNIT_TEST(KeepsTheAllowanceOnBothSidesOfACut);
  CPPUNIT_TEST(KeepsPartsForThoseThatAreMissed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The store turns a third of the strong instances away; they go on serving
  // and reporting. Weak ones are listed in their place, and none of these has
  // a part of its own at first. Parts were kept back for all of them, and
  // workspaces at three quarters of their rate were refused for seconds.
  void RefusesNobodyWhileTheStoreTurnsInstancesAway() {
    for (int seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      Fleet fleet;
      fleet.Step();
      const int lost = Between(random, 1, kStrong / 2);
      double offered = 0;
      constexpr int kSteps = 150;
      for (int step = 0; step < kSteps; ++step) {
        if (step == 40) fleet.Lose(lost, true);
        if (step == 90) fleet.Return();
        const double due = 0.75 * kLimit.rate * step;
        while (offered < due * absl::ToDoubleSeconds(kStep)) {
          const double tokens = Between(random, 200, 18000);
          const int at = Between(random, 0, kStrong - 1);
          const std::string when =
              "seed " + std::to_string(seed) + " step " + std::to_string(step);
          CPPUNIT_ASSERT_MESSAGE(when, fleet.Request(at, tokens));
          offered += tokens;
        }
        fleet.Step();
      }
    }
  }

  // Strong instances are cut off with their callers in a flood, which goes on
  // beyond the cut. Both sides together keep to the limit and its allowance.
  void KeepsTheAllowanceOnBothSidesOfACut() {
    for (int seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      Fleet fleet;
      fleet.Step();
      constexpr int kSteps = 200;
      bool cut = false;
      for (int step = 0; step < kSteps; ++step) {
        if (!cut && Between(random, 0, 30) == 0) {
          fleet.Lose(Between(random, 1, kStrong - 1), false);
          cut = true;
        } else if (cut && Between(random, 0, 50) == 0) {
          fleet.Return();
          cut = false;
        }
        double offered = 0;
        while (offered < 8 * kLimit.rate * absl::ToDoubleSeconds(kStep)) {
          const double tokens = Between(random, 500, 20000);
          fleet.Request(Between(random, 0, kStrong + kWeak - 1), tokens);
          offered += tokens;
        }
        fleet.Step();
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                 std::to_string(fleet.MostSpentInAWindow()),
                             fleet.MostSpentInAWindow() <= kAllowed);
    }
  }

  void KeepsPartsForThoseThatAreMissed() {
    struct Case {
      std::string name;
      absl::Duration listed_after;  ///< the third one, since the start
      absl::Duration then;          ///< until the question
      std::set<std::string_view> heard;
      double missing;
    };
    const std::vector<Case> cases = {
        {"all are heard", kStep, kStep, {"a", "b", "c"}, 0},
        {"one is missed", kStep, kStep, {"a", "b"}, 1.0 / 2},
        {"nobody is heard", kStep, kStep, {}, 1},
        {"missed for long", kStep, absl::Seconds(29), {"b", "c"}, 0},
        {"a late one has no part yet",
         absl::Seconds(10),
         absl::Seconds(15),
         {"a", "b"},
         0},
        {"a late one has one after the longest cut and a window",
         absl::Seconds(10),
         absl::Seconds(28),
         {"a", "b"},
         1.0 / 3},
    };
    for (const Case& item : cases) {
      ManualClock manual;
      QuotaParticipants owners(kWindow, Clock(&manual));
      owners.Follow(std::vector<std::string_view>{"a", "b"});
      manual.Advance(item.listed_after);
      owners.Follow(std::vector<std::string_view>{"a", "b", "c"});
      for (absl::Duration past; past < item.then; past += kStep) {
        manual.Advance(kStep);
        owners.Follow(item.name == "missed for long"
                          ? std::vector<std::string_view>{"b", "c"}
                          : std::vector<std::string_view>{"a", "b", "c"});
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
          item.name, item.missing, owners.MissingPart(item.heard), 1e-9);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(QuotaOwnersTest, "unit-quota-owners");

}  // namespace
}  // namespace dragonflyglade
