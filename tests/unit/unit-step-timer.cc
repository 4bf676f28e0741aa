#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "absl/time/clock.h"
#include "dragonflyglade/gateway/step_timer.h"

namespace dragonflyglade {
namespace {

using gateway::StepTimer;

constexpr absl::Duration kStep = absl::Milliseconds(5);

using boost::asio::io_context;

struct StepCase {
  const char* what;
  /// Happens once the time is over, before the timer's handler runs.
  std::function<void(StepTimer&)> meanwhile;
  /// Whether bytes wait at a look, counted from 1.
  std::function<bool(io_context&, StepTimer&, int look)> has_unread_bytes;
  int expired;  ///< how often the step times out
};

bool Quiet(io_context&, StepTimer&, int) { return false; }

void Nothing(StepTimer&) {}

// The step ends in a handler behind the look.
void EndSoon(io_context& context, StepTimer& timer) {
  boost::asio::post(context, [&timer] { timer.Stop(); });
}

class UnitStepTimerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnitStepTimerTest);
  CPPUNIT_TEST(TimesOutTheStepItWasStartedForOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An expired wait's handler closed the connection of the next step.
  void TimesOutTheStepItWasStartedForOnly() {
    const std::vector<StepCase> cases = {
        {"nothing comes", Nothing, Quiet, 1},
        {"the step ends", [](StepTimer& timer) { timer.Stop(); }, Quiet, 0},
        {"the next step begins",
         [](StepTimer& timer) { timer.Start(kStep, [](absl::Duration) {}); },
         Quiet, 0},
        {"the last bytes were taken, their handler is queued", Nothing,
         [](io_context& context, StepTimer& timer, int look) {
           if (look == 1) EndSoon(context, timer);
           return false;
         },
         0},
        {"the last bytes come at the fifth look", Nothing,
         [](io_context& context, StepTimer& timer, int look) {
           if (look == 6) EndSoon(context, timer);
           return look <= 5;
         },
         0},
        {"some bytes, and no more", Nothing,
         [](io_context&, StepTimer&, int look) { return look <= 5; }, 1},
        {"bytes that nobody reads", Nothing,
         [](io_context&, StepTimer&, int) { return true; }, 1},
    };
    for (const StepCase& item : cases) {
      io_context context;
      int looks = 0;
      int expired = 0;
      boost::asio::steady_timer earlier(context, std::chrono::milliseconds(1));
      std::unique_ptr<StepTimer> timer;
      timer = std::make_unique<StepTimer>(context, Clock(SteadyClock()), [&] {
        return item.has_unread_bytes(context, *timer, ++looks);
      });
      timer->Start(kStep, [&](absl::Duration late) {
        CPPUNIT_ASSERT_MESSAGE(item.what, late >= absl::ZeroDuration());
        expired += 1;
      });
      // Both are found expired in one turn, and this handler runs first.
      earlier.async_wait(
          [&](const boost::system::error_code&) { item.meanwhile(*timer); });
      absl::SleepFor(2 * kStep);
      context.run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.expired, expired);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UnitStepTimerTest, "unit-step-timer");

}  // namespace
}  // namespace dragonflyglade
