#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/send_allowance.h"
#include "dragonflyglade/decision/slow_start.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr const char* kTarget = "t1";

std::vector<std::string> Names(int from, int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) names.push_back(absl::StrCat("i", from + i));
  return names;
}

int AllRequestsPerSecond(const SlowStartLimit& limit, std::string_view target,
                         const std::vector<std::string>& listed) {
  int total = 0;
  for (const std::string& self : listed) {
    total += DivideAllowance(SlowStartAllowance(limit), target, self, listed)
                 .requests;
  }
  return total;
}

// Instances that all have more requests for one target than it takes.
class Crowd {
 public:
  Crowd(SlowStartLimit limit, int instances) : limit(limit) {
    for (const std::string& name : Names(0, instances)) {
      this->views[name] = Names(0, instances);
      this->senders.emplace(name, SendHistory());
    }
  }

  // Gives the instance another list of instances. One that is in its own list
  // for the first time starts to send.
  void ShowList(const std::string& self, std::vector<std::string> listed) {
    this->views[self] = std::move(listed);
    this->senders.emplace(self, SendHistory());
  }

  void Play(absl::Duration time) {
    const Instant end = this->now + time;
    for (; this->now < end; this->now += kStep) {
      for (auto& [name, sender] : this->senders) {
        const SendAllowance part =
            DivideAllowance(SlowStartAllowance(this->limit), kTarget, name,
                            this->views.at(name));
        while (sender.UntilAllowed(part, this->now) == absl::ZeroDuration()) {
          sender.RecordSent(this->now);
          this->sent.push_back(this->now);
        }
      }
    }
  }

  int MostInASecond() const {
    int most = 0;
    for (const Instant begin : this->sent) {
      const auto in_second = std::count_if(
          this->sent.begin(), this->sent.end(), [begin](Instant at) {
            return at >= begin && at < begin + absl::Seconds(1);
          });
      most = std::max(most, static_cast<int>(in_second));
    }
    return most;
  }

  int Served() const { return static_cast<int>(this->sent.size()); }

 private:
  const SlowStartLimit limit;
  Instant now = absl::Seconds(10);
  std::map<std::string, std::vector<std::string>> views;
  std::map<std::string, SendHistory> senders;
  std::vector<Instant> sent;
};

SlowStartLimit Limit(double rate, double overage, double slack) {
  return {absl::Seconds(3), rate, overage, slack};
}

class SlowStartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowStartTest);
  CPPUNIT_TEST(PartsOfAllInstancesFitTheLimit);
  CPPUNIT_TEST(KeepsTheLimitWhileListsDiffer);
  CPPUNIT_TEST(ServesACrowdDuringTheWarmUp);
  CPPUNIT_TEST(CountsWhatWasSentBeforeTheWarmUpWasKnown);
  CPPUNIT_TEST(AShorterWarmUpDoesNotEndALongerOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PartsOfAllInstancesFitTheLimit() {
    struct Case {
      const char* name;
      SlowStartLimit limit;
      int instances;
      int least;
      int most;
    };
    const std::vector<Case> cases = {
        {"no instance is known", Limit(6.5, 1.5, 5), 0, 0, 0},
        {"one instance", Limit(6.5, 1.5, 5), 1, 8, 8},
        {"three instances", Limit(6.5, 1.5, 5), 3, 6, 8},
        {"as many as the parts", Limit(6.5, 1.5, 5), 8, 8, 8},
        {"more than the parts", Limit(6.5, 1.5, 5), 64, 8, 8},
        {"a limit of about one request", Limit(1, 1, 0), 8, 1, 1},
        {"a limit below one request", Limit(0.1, 1, 0), 8, 1, 1},
        {"a limit of some hundred requests", Limit(400, 1, 0), 8, 200, 240},
        {"a limit beyond any number of requests", Limit(1e300, 1.5, 5), 8, 8,
         1'000'000},
    };
    for (const Case& item : cases) {
      const int all =
          AllRequestsPerSecond(item.limit, kTarget, Names(0, item.instances));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(item.name, ": ", all),
                             all >= item.least && all <= item.most);
    }
  }

  // Guards against a crash of a target that warms up while some instances have
  // an old list of instances: the senders of both lists add up.
  void KeepsTheLimitWhileListsDiffer() {
    const bool passed = rc::check("limit kept", [] {
      const SlowStartLimit limit = Limit(6.5, 1.5, 5);
      Crowd crowd(limit, 8);
      const int replaced = *rc::gen::inRange(1, 7);
      for (int i = 0; i < replaced; ++i) {
        crowd.Play(absl::Milliseconds(*rc::gen::inRange(0, 400)));
        std::vector<std::string> list = Names(i + 1, 8);
        const std::string added = list.back();
        crowd.ShowList(added, list);
        crowd.Play(absl::Milliseconds(*rc::gen::inRange(0, 400)));
        for (const std::string& name : list) crowd.ShowList(name, list);
      }
      crowd.Play(absl::Seconds(2));
      RC_ASSERT(crowd.MostInASecond() <= 14);
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against a slow start that is safe because it serves nobody.
  void ServesACrowdDuringTheWarmUp() {
    for (const int instances : {1, 3, 8, 40}) {
      Crowd crowd(Limit(6.5, 1.5, 5), instances);
      crowd.Play(absl::Seconds(3));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(instances, " instances"),
                             crowd.Served() >= 16);
    }
  }

  // Guards against a full second's requests on top of those that were sent just
  // before the instance learned that the target warms up.
  void CountsWhatWasSentBeforeTheWarmUpWasKnown() {
    const Instant now = absl::Seconds(10);
    SendHistory sender;
    for (int i = 0; i < 5; ++i) sender.RecordSent(now);
    const auto may_send = [&](int requests, absl::Duration after) {
      return sender.UntilAllowed({requests, absl::Milliseconds(1100)},
                                 now + after) == absl::ZeroDuration();
    };
    CPPUNIT_ASSERT(!may_send(1, absl::ZeroDuration()));
    CPPUNIT_ASSERT(!may_send(5, absl::Milliseconds(900)));
    CPPUNIT_ASSERT(may_send(6, absl::ZeroDuration()));
    CPPUNIT_ASSERT(may_send(1, absl::Milliseconds(1200)));
    CPPUNIT_ASSERT(!may_send(0, absl::Seconds(2)));
  }

  void AShorterWarmUpDoesNotEndALongerOne() {
    const Instant now = absl::Seconds(10);
    SlowStart sender;
    CPPUNIT_ASSERT(!sender.IsWarmingUp(now));
    sender.Begin(absl::Seconds(3), now);
    CPPUNIT_ASSERT(sender.IsWarmingUp(now));
    // A shorter time does not end a warm-up that is known to last longer.
    sender.Begin(absl::Seconds(1), now);
    CPPUNIT_ASSERT(sender.IsWarmingUp(now + absl::Milliseconds(2900)));
    CPPUNIT_ASSERT(!sender.IsWarmingUp(now + absl::Milliseconds(3100)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SlowStartTest, "unit-slow-start");

}  // namespace
}  // namespace dragonflyglade
