#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>

#include "dragonflyglade/decision/model_load_limiter.h"

namespace dragonflyglade {
namespace {

constexpr double kLoadsPerSecond = 2;
const ModelLoadLimiterOptions kOptions{absl::Seconds(5), 1, absl::Seconds(3)};
constexpr int kLoadsPerWindow = 13;  // by the rate, and 3 extra loads

class ModelLoadLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelLoadLimiterTest);
  CPPUNIT_TEST(AllowsHalfOfAWindowAtOnce);
  CPPUNIT_TEST(KeepsTheLimitAcrossLeaders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllowsHalfOfAWindowAtOnce() {
    ManualClock manual;
    manual.Advance(absl::Seconds(100));
    ModelLoadLimiter limiter(kOptions, Clock(&manual));
    CPPUNIT_ASSERT_EQUAL(6, limiter.RemainingLoads(kLoadsPerSecond));
    for (int i = 0; i < 6; ++i) limiter.RecordLoadStart();
    CPPUNIT_ASSERT_EQUAL(0, limiter.RemainingLoads(kLoadsPerSecond));
    manual.Advance(absl::Milliseconds(2001));
    CPPUNIT_ASSERT_EQUAL(5, limiter.RemainingLoads(kLoadsPerSecond));
    manual.Advance(absl::Seconds(5));
    limiter.OnLeadershipAcquired(kLoadsPerSecond);
    CPPUNIT_ASSERT_EQUAL(5, limiter.RemainingLoads(kLoadsPerSecond));
  }

  // Failure: a leader begins all loads that it may and terminates, and its
  // successor does the same after the handover delay. Together they overload
  // the weight store. No window may have more loads than the rate allows.
  void KeepsTheLimitAcrossLeaders() {
    const bool kept = rc::check("no window has more than allowed", [] {
      ManualClock manual;
      manual.Advance(absl::Seconds(100));
      std::deque<Instant> begun;
      for (int leader = 0; leader < 4; ++leader) {
        ModelLoadLimiter limiter(kOptions, Clock(&manual));
        limiter.OnLeadershipAcquired(kLoadsPerSecond);
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
          int left = limiter.RemainingLoads(kLoadsPerSecond);
          if (*rc::gen::inRange(0, 2) == 0) left = 0;
          for (int i = 0; i < left; ++i) {
            limiter.RecordLoadStart();
            begun.push_back(manual.Now());
          }
          manual.Advance(absl::Milliseconds(100));
        }
        manual.Advance(kOptions.leader_handover_delay);
      }
      for (std::size_t first = 0; first < begun.size(); ++first) {
        int count = 0;
        for (std::size_t i = first; i < begun.size(); ++i) {
          if (begun[i] - begun[first] <= kOptions.window) count += 1;
        }
        RC_ASSERT(count <= kLoadsPerWindow);
      }
    });
    CPPUNIT_ASSERT(kept);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ModelLoadLimiterTest,
                                      "unit-load-ceiling");

}  // namespace
}  // namespace dragonflyglade
