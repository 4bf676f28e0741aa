#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(4);

// A target that names its limit in each response and records its requests.
class LimitedTarget {
 public:
  explicit LimitedTarget(std::string field) : field(std::move(field)) {}

  PlatformTargetStandIn::Script Answer(const RawRequest& request) {
    absl::MutexLock lock(&this->mutex);
    this->arrivals.push_back(absl::Now());
    return {ResponseBytes(request, "200 OK", "done",
                          absl::StrCat(kSigned, this->field, "\r\n"))};
  }

  /// The most requests in any window that begins after the time.
  int MostInWindow(absl::Time after) const {
    absl::MutexLock lock(&this->mutex);
    int most = 0;
    for (const absl::Time begin : this->arrivals) {
      if (begin < after) continue;
      const auto in_window = std::count_if(
          this->arrivals.begin(), this->arrivals.end(), [begin](absl::Time at) {
            return at >= begin && at < begin + kWindow;
          });
      most = std::max(most, static_cast<int>(in_window));
    }
    return most;
  }

 private:
  const std::string field;
  mutable absl::Mutex mutex;
  std::vector<absl::Time> arrivals;
};

class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(KeepsTheLimitThatATargetNames);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: a target in need gets as many requests as before it named the rate
  // that it takes.
  void KeepsTheLimitThatATargetNames() {
    for (const char* field :
         {"Server-Limit: 1", "X-Dragonflyglade-Server-Limit: 1.0"}) {
      LimitedTarget limited(field);
      GatewayHarness harness;
      harness.AddSecond();
      const absl::Time start = absl::Now();
      while (absl::Now() < start + absl::Seconds(6)) {
        harness.first.EnqueueAnswer(
            [&](const RawRequest& request) { return limited.Answer(request); });
        CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
        absl::SleepFor(absl::Milliseconds(40));
      }
      const int most = limited.MostInWindow(start + absl::Milliseconds(500));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(field, ": ", most), most <= 11);
      CPPUNIT_ASSERT_MESSAGE("nothing is sent that could end the limit",
                             most > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LimitsTest, "platform-limits");

}  // namespace
}  // namespace dragonflyglade
