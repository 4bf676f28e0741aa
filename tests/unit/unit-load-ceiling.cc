#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>

#include "dragonflyglade/decision/model_load_limiter.h"

namespace dragonflyglade {
namespace {

constexpr double kRate = 2;  // loads a second
const ModelLoadLimiterOptions kOptions{absl::Seconds(5), 1, absl::Seconds(3)};
constexpr int kAllowed = 13;  // of a window: the rate, and three beside it

class LoadCeilingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadCeilingTest);
  CPPUNIT_TEST(BeginsNoMoreThanHalfAtOnce);
  CPPUNIT_TEST(KeepsTheCeilingOverHolders);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BeginsNoMoreThanHalfAtOnce() {
    ManualClock manual;
    manual.Advance(absl::Seconds(100));
    ModelLoadLimiter ceiling(kOptions, Clock(&manual));
    CPPUNIT_ASSERT_EQUAL(6, ceiling.Left(kRate));
    for (int i = 0; i < 6; ++i) ceiling.RecordLoadStart();
    CPPUNIT_ASSERT_EQUAL(0, ceiling.Left(kRate));
    manual.Advance(absl::Milliseconds(2001));
    CPPUNIT_ASSERT_EQUAL(5, ceiling.Left(kRate));
    manual.Advance(absl::Seconds(5));
    ceiling.OnLeadershipAcquired(kRate);
    CPPUNIT_ASSERT_EQUAL(5, ceiling.Left(kRate));
  }

  // The holder begins all loads that it may and dies; the next one, after the
  // quiet time, does the same. The weight store must not see more than its
  // rate allows in any window.
  void KeepsTheCeilingOverHolders() {
    const bool kept = rc::check("no window has more than allowed", [] {
      ManualClock manual;
      manual.Advance(absl::Seconds(100));
      std::deque<Instant> begun;
      for (int holder = 0; holder < 4; ++holder) {
        ModelLoadLimiter ceiling(kOptions, Clock(&manual));
        ceiling.OnLeadershipAcquired(kRate);
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
          int left = ceiling.Left(kRate);
          if (*rc::gen::inRange(0, 2) == 0) left = 0;
          for (int i = 0; i < left; ++i) {
            ceiling.RecordLoadStart();
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
        RC_ASSERT(count <= kAllowed);
      }
    });
    CPPUNIT_ASSERT(kept);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LoadCeilingTest, "unit-load-ceiling");

}  // namespace
}  // namespace dragonflyglade
