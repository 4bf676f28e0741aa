#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

constexpr int kSlots = 4;  // as the harness registers its targets
constexpr int kWaiting = 4;
constexpr int kDeclinesPerSecond = 4;
constexpr absl::Duration kWork = absl::Milliseconds(40);
constexpr absl::Duration kStabilityWindow = absl::Seconds(3);
constexpr absl::Duration kDownTime = absl::Seconds(2);

// A target that states in all its responses that it is brittle. From the
// stability window on it lets none wait, and if it has to decline too many
// requests in a second it falls over and is back after a while.
class BrittleStandIn {
 public:
  explicit BrittleStandIn(std::string field) : field(std::move(field)) {}

  PlatformTargetStandIn::Script Answer(const RawRequest& request) {
    {
      absl::MutexLock lock(&this->mutex);
      const absl::Time now = absl::Now();
      this->started = std::min(this->started, now);
      if (now < this->down_until) return {"", true};
      const bool brittle = now >= this->started + kStabilityWindow;
      const int room = kSlots + (brittle ? 0 : kWaiting);
      if (this->running >= room) return this->Decline(request, now, brittle);
      this->running += 1;
    }
    absl::SleepFor(kWork);
    absl::MutexLock lock(&this->mutex);
    this->running -= 1;
    return {ResponseBytes(request, "200 OK", "done",
                          absl::StrCat(kSigned, this->field, "\r\n"))};
  }

  int Falls() const {
    absl::MutexLock lock(&this->mutex);
    return this->falls;
  }

 private:
  PlatformTargetStandIn::Script Decline(const RawRequest& request,
                                        absl::Time now, bool brittle)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    while (!this->declines.empty() &&
           this->declines.front() <= now - absl::Seconds(1)) {
      this->declines.pop_front();
    }
    this->declines.push_back(now);
    if (brittle && this->declines.size() > kDeclinesPerSecond) {
      this->falls += 1;
      this->down_until = now + kDownTime;
      this->declines.clear();
      return {"", true};
    }
    return {ResponseBytes(request, "503 Service Unavailable", "",
                          absl::StrCat("X-Dragonflyglade-Not-Executed: 1\r\n",
                                       this->field, "\r\n"))};
  }

  const std::string field;
  mutable absl::Mutex mutex;
  absl::Time started ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture();
  absl::Time down_until ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
  std::deque<absl::Time> declines ABSL_GUARDED_BY(mutex);
  int running ABSL_GUARDED_BY(mutex) = 0;
  int falls ABSL_GUARDED_BY(mutex) = 0;
};

class BrittleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrittleTest);
  CPPUNIT_TEST(SpareBrittleTargetsUnderACrowd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a crowd that makes brittle targets fall over in turn.
  void SpareBrittleTargetsUnderACrowd() {
    constexpr int kCallers = 32;
    for (const char* field :
         {"Server-Brittle: 4", "X-Dragonflyglade-Server-Brittle: 4"}) {
      BrittleStandIn first(field);
      BrittleStandIn second(field);
      GatewayHarness harness;
      harness.AddSecond();
      const auto enqueue = [&] {
        harness.first.EnqueueAnswer(
            [&](const RawRequest& request) { return first.Answer(request); });
        harness.second.EnqueueAnswer(
            [&](const RawRequest& request) { return second.Answer(request); });
      };
      const absl::Time start = absl::Now();
      std::atomic<int> served = 0;
      std::vector<std::thread> callers;
      callers.reserve(kCallers);
      for (int i = 0; i < kCallers; ++i) {
        callers.emplace_back([&] {
          while (absl::Now() < start + 3 * kStabilityWindow) {
            enqueue();
            const GatewayHarness::Reply reply = harness.Call("GET", "/any/");
            if (reply.status == 200) served += 1;
            const std::string retry_after = reply.Field("Retry-After");
            absl::SleepFor(retry_after.empty()
                               ? absl::Milliseconds(10)
                               : absl::Seconds(std::stod(retry_after)));
          }
        });
      }
      for (std::thread& caller : callers) caller.join();
      const int falls = first.Falls() + second.Falls();
      constexpr double kTargets = 2;
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(field, ": fell over ", falls),
                             falls <= 2 + kTargets / 10);
      // A quarter of what the targets' slots can run.
      const double possible = kTargets * kSlots / 4 *
                              absl::FDivDuration(3 * kStabilityWindow, kWork);
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(field, ": served ", served.load()),
                             served >= possible);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(BrittleTest, "platform-brittle");

}  // namespace
}  // namespace dragonflyglade
