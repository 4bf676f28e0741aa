#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/residency_planner.h"
#include "dragonflyglade/decision/send_allowance.h"
#include "dragonflyglade/decision/target_rate_limit.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(20);
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr const char* kTarget = "t1";

std::vector<std::string> Names(int from, int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) names.push_back(absl::StrCat("i", from + i));
  return names;
}

// What a target must not get more of in any four seconds.
double MostPermitted(double limit) { return 1.5 * 4 * limit + 5; }

// Instances that all have more requests for one target than it takes.
class Crowd {
 public:
  Crowd(double limit, int instances)
      : allowance(RateLimitAllowance(limit)), listed(Names(0, instances)) {}

  /// One instance is replaced by another; the others hear of it one by one.
  void ReplaceFirst(absl::Duration delay) {
    std::vector<std::string> newer(this->listed.begin() + 1,
                                   this->listed.end());
    newer.push_back(absl::StrCat("new", this->replaced++));
    for (const std::string& name : newer) {
      this->views[name] = newer;
      this->Play(delay);
    }
    this->senders.erase(this->listed.front());
    this->views.erase(this->listed.front());
    this->listed = newer;
  }

  void Play(absl::Duration time) {
    const Instant end = this->now + time;
    for (; this->now < end; this->now += kStep) {
      for (const std::string& name : this->listed) this->SendAll(name);
    }
  }

  int Served() const { return static_cast<int>(this->sent.size()); }

  int MostInWindow() const {
    int most = 0;
    for (const Instant begin : this->sent) {
      const auto in_window = std::count_if(
          this->sent.begin(), this->sent.end(),
          [begin](Instant at) { return at >= begin && at < begin + kWindow; });
      most = std::max(most, static_cast<int>(in_window));
    }
    return most;
  }

 private:
  void SendAll(const std::string& name) {
    const auto view = this->views.find(name);
    const SendAllowance part = DivideAllowance(
        this->allowance, kTarget, name,
        view == this->views.end() ? this->listed : view->second);
    SendHistory& sender = this->senders[name];
    while (sender.UntilAllowed(part, this->now) == absl::ZeroDuration()) {
      sender.RecordSent(this->now);
      this->sent.push_back(this->now);
    }
  }

  const SendAllowance allowance;
  std::vector<std::string> listed;
  std::map<std::string, std::vector<std::string>> views;
  std::map<std::string, SendHistory> senders;
  Instant now = absl::Seconds(100);
  std::vector<Instant> sent;
  int replaced = 0;
};

class TargetLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLimitsTest);
  CPPUNIT_TEST(ACrowdGetsWhatTheTargetTakes);
  CPPUNIT_TEST(KeepsTheLimitWhileInstancesAreReplaced);
  CPPUNIT_TEST(CountsWhatWasSentBeforeTheLimitWasKnown);
  CPPUNIT_TEST(TheNewestStatementCounts);
  CPPUNIT_TEST(AModelInDemandGetsACopyElsewhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against instances that each keep to the limit alone, or send
  // nothing.
  void ACrowdGetsWhatTheTargetTakes() {
    struct Case {
      double limit;
      int instances;
    };
    std::vector<Case> cases;
    for (const double limit : {0.0, 0.02, 0.2, 0.3, 1.0, 1.7, 2.0, 12.5}) {
      for (const int instances : {1, 2, 6, 8, 64}) {
        cases.push_back({limit, instances});
      }
    }
    constexpr double kSeconds = 60;
    for (const Case& item : cases) {
      const std::string name =
          absl::StrCat(item.limit, " a second, ", item.instances);
      Crowd crowd(item.limit, item.instances);
      crowd.Play(absl::Seconds(kSeconds));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(name, ": ", crowd.MostInWindow()),
                             crowd.MostInWindow() <= MostPermitted(item.limit));
      const double least = std::max(6.0, 0.7 * item.limit * kSeconds);
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(name, ": ", crowd.Served()),
                             crowd.Served() >= least);
    }
    // A limit that no instance can reach binds nobody.
    const double huge = std::numeric_limits<double>::max();
    CPPUNIT_ASSERT(RateLimitAllowance(huge).requests > 100000);
  }

  // Guards against the parts of an older and a newer list that add up.
  void KeepsTheLimitWhileInstancesAreReplaced() {
    const bool passed = rc::check("limit kept", [] {
      const double limit = *rc::gen::inRange(1, 40) / 4.0;
      Crowd crowd(limit, *rc::gen::inRange(2, 9));
      crowd.Play(absl::Milliseconds(*rc::gen::inRange(0, 5000)));
      const int replaced = *rc::gen::inRange(1, 3);
      for (int i = 0; i < replaced; ++i) {
        crowd.ReplaceFirst(absl::Milliseconds(*rc::gen::inRange(0, 200)));
        crowd.Play(absl::Seconds(5));
      }
      RC_ASSERT(crowd.MostInWindow() <= MostPermitted(limit));
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a whole window's requests on top of those just sent.
  void CountsWhatWasSentBeforeTheLimitWasKnown() {
    const Instant now = absl::Seconds(100);
    SendHistory sender;
    for (int i = 0; i < 20; ++i) sender.RecordSent(now);
    const SendAllowance allowance = RateLimitAllowance(1);
    CPPUNIT_ASSERT(allowance.window >= kWindow);
    CPPUNIT_ASSERT(sender.UntilAllowed(
                       allowance, now + allowance.window - absl::Seconds(1)) ==
                   absl::Seconds(1));
    CPPUNIT_ASSERT(sender.UntilAllowed(allowance, now + allowance.window) ==
                   absl::ZeroDuration());
    CPPUNIT_ASSERT(sender.UntilAllowed({0, kWindow}, now) ==
                   absl::InfiniteDuration());
  }

  // Guards against a delayed message that revives a limit or ends a new one.
  void TheNewestStatementCounts() {
    struct Statement {
      std::optional<double> limit;
      double at_s;
    };
    struct Case {
      std::string name;
      std::vector<Statement> statements;
      std::optional<double> limit;
    };
    const std::vector<Case> cases = {
        {"none", {}, std::nullopt},
        {"a limit", {{1.0, 10}}, 1.0},
        {"another limit", {{1.0, 10}, {2.0, 11}}, 2.0},
        {"an older limit", {{1.0, 10}, {2.0, 9}}, 1.0},
        {"ended", {{1.0, 10}, {std::nullopt, 11}}, std::nullopt},
        {"ended before it was stated", {{1.0, 10}, {std::nullopt, 9}}, 1.0},
        {"stated before it ended", {{std::nullopt, 11}, {1.0, 10}}, {}},
        {"stated again", {{1.0, 10}, {std::nullopt, 11}, {1.0, 12}}, 1.0},
    };
    for (const Case& item : cases) {
      TargetRateLimit limit;
      for (const Statement& one : item.statements) {
        limit.Record(one.limit, absl::Seconds(one.at_s));
      }
      CPPUNIT_ASSERT_MESSAGE(item.name, limit.Limit() == item.limit);
    }
  }

  // Guards against a model whose only copy is at a target that takes little.
  void AModelInDemandGetsACopyElsewhere() {
    struct Case {
      std::string name;
      int limited;  ///< engines, the one with the copy first
      double load;
      bool loads;
    };
    const std::vector<Case> cases = {
        {"no limit", 0, 0.1, false},
        {"in demand", 1, 0.1, true},
        {"nobody asks", 1, 0, false},
        {"most engines are limited", 3, 0.1, false},
    };
    for (const Case& item : cases) {
      ManualClock clock;
      ResidencyPlanner planner{ResidencyOptions(), Clock(&clock)};
      DemandedModel model;
      model.name = "m";
      model.memory_mb = 10;
      model.load = item.load;
      std::vector<EngineResidency> engines(4);
      for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].id = absl::StrCat("e", i);
        engines[i].memory_mb = 100;
        engines[i].limited = static_cast<int>(i) < item.limited;
      }
      engines[0].models["m"] = {};
      const auto changes = planner.Plan({&model, 1}, {}, engines, 1);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.loads, !changes.empty());
      if (changes.empty()) continue;
      CPPUNIT_ASSERT_MESSAGE(item.name, changes[0].target != "e0");
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetLimitsTest, "unit-target-limits");

}  // namespace
}  // namespace dragonflyglade
