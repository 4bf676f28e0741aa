#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "dragonflyglade/gateway/step_timer.h"

namespace dragonflyglade {
namespace {

using gateway::StepTimer;

constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kLongStep = absl::Hours(1);

struct StepCase {
  const char* what;
  /// Happens once the time is over, before the timer's handler runs.
  std::function<void(StepTimer&)> meanwhile;
  int looks_with_bytes;  ///< how often bytes are found when it looks
  int expired;           ///< how often the step times out
};

class UnitStepTimerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnitStepTimerTest);
  CPPUNIT_TEST(TimesOutTheStepItWasStartedForOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An expired wait's handler closed the connection of the next step.
  void TimesOutTheStepItWasStartedForOnly() {
    constexpr int kAlways = 1000000;
    const std::vector<StepCase> cases = {
        {"nothing comes", [](StepTimer&) {}, 0, 1},
        {"the step ends", [](StepTimer& timer) { timer.Stop(); }, 0, 0},
        {"the next step begins",
         [](StepTimer& timer) {
           timer.Start(kLongStep, [](absl::Duration) {});
         },
         0, 0},
        {"bytes are read in some turns", [](StepTimer&) {}, 5, 1},
        {"bytes that nobody reads", [](StepTimer&) {}, kAlways, 1},
    };
    for (const StepCase& item : cases) {
      boost::asio::io_context context;
      int looks = 0;
      int expired = 0;
      boost::asio::steady_timer earlier(context, std::chrono::milliseconds(1));
      StepTimer timer(context, Clock(SteadyClock()),
                      [&] { return ++looks <= item.looks_with_bytes; });
      timer.Start(kStep, [&](absl::Duration late) {
        CPPUNIT_ASSERT_MESSAGE(item.what, late >= absl::ZeroDuration());
        expired += 1;
      });
      // Both are found expired in one turn, and this handler runs first.
      earlier.async_wait(
          [&](const boost::system::error_code&) { item.meanwhile(timer); });
      absl::SleepFor(2 * kStep);
      context.run_for(std::chrono::milliseconds(50));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.expired, expired);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UnitStepTimerTest, "unit-step-timer");

}  // namespace
}  // namespace dragonflyglade
