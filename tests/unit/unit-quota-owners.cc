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
const QuotaTolerance kQuotaTolerance{kWindow, 0.1, 100000};
const double kAllowedTokens = 900000 * 1.1 + 100000;
constexpr int kStrongInstances = 18;
constexpr int kWeakInstances = 80;
// Weak instances that are listed for each strong one that is no longer listed.
constexpr int kWeakPerLostStrong = 4;
// Steps until the lease of a disconnected instance's entry in the store
// expires.
constexpr int kLeaseSteps = 10;
constexpr int kSeeds = 20;

// A fleet of strong instances, to which callers are sent, and weak ones, which
// are listed in place of strong ones that are no longer in the store's list.
// The first instance is the leader.
class SimulatedFleet {
 public:
  SimulatedFleet() : participants(kWindow, Clock(&this->manual)) {
    for (int i = 0; i < kStrongInstances + kWeakInstances; ++i) {
      Instance instance;
      instance.name = std::to_string(i);
      instance.quotas = std::make_unique<QuotaWindows>(kQuotaTolerance, true,
                                                       Clock(&this->manual));
      this->instances.push_back(std::move(instance));
    }
    this->UpdateList();
    this->ApplyList();
  }

  /// Strong instances lose their connection to the store.
  /// @param reporting whether they still report to the leader
  void Disconnect(int count, bool reporting) {
    for (int i = kStrongInstances - count; i < kStrongInstances; ++i) {
      this->instances[i].in_store = false;
      this->instances[i].reporting = reporting;
    }
    this->steps_to_list_update = kLeaseSteps;
  }

  void Reconnect() {
    for (Instance& instance : this->instances) {
      instance.in_store = true;
      instance.reporting = true;
    }
    this->steps_to_list_update = 1;
  }

  bool Request(int at, double tokens) {
    Instance& instance = this->instances[at];
    QuotaWindows& quotas = *instance.quotas;
    bool admitted = quotas.AdmitWithoutGrant("w", kLimit, tokens).admitted;
    if (!admitted && !instance.reporting) {
      admitted = quotas.AdmitFromShare("w", kLimit, tokens).admitted;
    } else if (!admitted) {
      FleetSpending spend = this->summary;
      spend.total += this->granted;
      admitted = this->instances.front()
                     .quotas->DecideGrant(kLimit, tokens, spend)
                     .admitted;
      if (admitted) this->granted += tokens;
      if (admitted) quotas.RecordGrant("w", tokens);
    }
    if (admitted) this->spent.back() += tokens;
    return admitted;
  }

  void Step() {
    if (this->steps_to_list_update > 0 && --this->steps_to_list_update == 0)
      this->UpdateList();
    this->ApplyList();
    this->SummarizeReports();
    for (Instance& instance : this->instances) {
      if (!instance.reporting) continue;
      FleetSpending spend = this->summary;
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
    bool reporting = true;
    double reported = 0;  ///< spending in the window, by its last report
    Instant reported_at;
  };

  void UpdateList() {
    this->listed.clear();
    int weak = 0;
    for (int i = 0; i < kStrongInstances; ++i) {
      if (this->instances[i].in_store) {
        this->listed.push_back(this->instances[i].name);
      } else {
        weak += kWeakPerLostStrong;
      }
    }
    for (int i = 0; i < weak; ++i) {
      this->listed.push_back(this->instances[kStrongInstances + i].name);
    }
  }

  // An instance that has neither the store nor the leader keeps the last list
  // it received.
  void ApplyList() {
    this->participants.UpdateListed(this->listed);
    const std::set<std::string_view> names(this->listed.begin(),
                                           this->listed.end());
    for (Instance& instance : this->instances) {
      if (!instance.in_store && !instance.reporting) continue;
      instance.quotas->SetParticipantCount(
          static_cast<int>(this->listed.size()));
      instance.quotas->SetListed(names.count(instance.name) > 0);
    }
  }

  void SummarizeReports() {
    this->granted = 0;
    this->summary = FleetSpending();
    this->summary.instances = 0;
    const std::set<std::string_view> names(this->listed.begin(),
                                           this->listed.end());
    std::set<std::string_view> reporting;
    for (Instance& instance : this->instances) {
      if (instance.reporting) {
        reporting.insert(instance.name);
        instance.reported = instance.quotas->Spent()["w"];
        instance.reported_at = this->manual.Now();
        this->summary.instances += names.count(instance.name) > 0 ? 1 : 0;
      }
      if (this->manual.Now() - instance.reported_at <= kWindow) {
        this->summary.total += instance.reported;
      }
    }
    this->summary.unreported_fraction =
        this->participants.UnreportedFraction(reporting);
  }

  ManualClock manual;
  QuotaParticipants participants;
  std::vector<Instance> instances;
  std::vector<std::string_view> listed;
  FleetSpending summary;
  double granted = 0;            ///< tokens since the last summary
  int steps_to_list_update = 0;  ///< 0: none is due
  std::vector<double> spent = {0};
};

class QuotaParticipantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaParticipantsTest);
  CPPUNIT_TEST(RefusesNoRequestWhileInstancesLoseTheStore);
  CPPUNIT_TEST(KeepsTheLimitOnBothSidesOfAPartition);
  CPPUNIT_TEST(WithholdsSharesOfUnreportingInstances);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: strong instances lose only the store and go on serving and
  // reporting; weak ones, which have no share of their own at first, are listed
  // in their place. If shares are withheld for all of them, requests are
  // refused for seconds in workspaces that use three quarters of their rate.
  void RefusesNoRequestWhileInstancesLoseTheStore() {
    for (int seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      SimulatedFleet fleet;
      fleet.Step();
      const int disconnected = Between(random, 1, kStrongInstances / 2);
      double offered = 0;
      constexpr int kSteps = 150;
      for (int step = 0; step < kSteps; ++step) {
        if (step == 40) fleet.Disconnect(disconnected, true);
        if (step == 90) fleet.Reconnect();
        const double due = 0.75 * kLimit.rate * step;
        while (offered < due * absl::ToDoubleSeconds(kStep)) {
          const double tokens = Between(random, 200, 18000);
          const int at = Between(random, 0, kStrongInstances - 1);
          const std::string when =
              "seed " + std::to_string(seed) + " step " + std::to_string(step);
          CPPUNIT_ASSERT_MESSAGE(when, fleet.Request(at, tokens));
          offered += tokens;
        }
        fleet.Step();
      }
    }
  }

  // Failure: a network partition separates strong instances together with their
  // callers while these flood a workspace, and both sides together exceed the
  // limit and its tolerance.
  void KeepsTheLimitOnBothSidesOfAPartition() {
    for (int seed = 0; seed < kSeeds; ++seed) {
      std::mt19937 random(seed);
      SimulatedFleet fleet;
      fleet.Step();
      constexpr int kSteps = 200;
      bool partitioned = false;
      for (int step = 0; step < kSteps; ++step) {
        if (!partitioned && Between(random, 0, 30) == 0) {
          fleet.Disconnect(Between(random, 1, kStrongInstances - 1), false);
          partitioned = true;
        } else if (partitioned && Between(random, 0, 50) == 0) {
          fleet.Reconnect();
          partitioned = false;
        }
        double offered = 0;
        while (offered < 8 * kLimit.rate * absl::ToDoubleSeconds(kStep)) {
          const double tokens = Between(random, 500, 20000);
          fleet.Request(
              Between(random, 0, kStrongInstances + kWeakInstances - 1),
              tokens);
          offered += tokens;
        }
        fleet.Step();
      }
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                 std::to_string(fleet.MostSpentInAWindow()),
                             fleet.MostSpentInAWindow() <= kAllowedTokens);
    }
  }

  void WithholdsSharesOfUnreportingInstances() {
    struct ParticipantCase {
      std::string name;
      absl::Duration listed_after;   ///< when "c" is listed, from the start
      absl::Duration checked_after;  ///< from then on
      std::set<std::string_view> reporting;
      double unreported_share;
    };
    const std::vector<ParticipantCase> cases = {
        {"all report", kStep, kStep, {"a", "b", "c"}, 0},
        {"one does not report", kStep, kStep, {"a", "b"}, 1.0 / 2},
        {"none reports", kStep, kStep, {}, 1},
        {"last listed long ago", kStep, absl::Seconds(29), {"b", "c"}, 0},
        {"a newly listed one has no part yet",
         absl::Seconds(10),
         absl::Seconds(15),
         {"a", "b"},
         0},
        {"a newly listed one has a share after the longest partition and a "
         "window",
         absl::Seconds(10),
         absl::Seconds(28),
         {"a", "b"},
         1.0 / 3},
    };
    for (const ParticipantCase& item : cases) {
      ManualClock manual;
      QuotaParticipants participants(kWindow, Clock(&manual));
      participants.UpdateListed(std::vector<std::string_view>{"a", "b"});
      manual.Advance(item.listed_after);
      participants.UpdateListed(std::vector<std::string_view>{"a", "b", "c"});
      for (absl::Duration past; past < item.checked_after; past += kStep) {
        manual.Advance(kStep);
        participants.UpdateListed(
            item.name == "last listed long ago"
                ? std::vector<std::string_view>{"b", "c"}
                : std::vector<std::string_view>{"a", "b", "c"});
      }
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(
          item.name, item.unreported_share,
          participants.UnreportedFraction(item.reporting), 1e-9);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(QuotaParticipantsTest,
                                      "unit-quota-owners");

}  // namespace
}  // namespace dragonflyglade
