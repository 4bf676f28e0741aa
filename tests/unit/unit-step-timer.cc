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
  /// Runs after the step's time is over, before the timer's handler.
  std::function<void(StepTimer&)> before_handler;
  /// Whether the timer's check finds unread bytes; checks count from 1.
  std::function<bool(io_context&, StepTimer&, int check)> has_unread_bytes;
  int expired;  ///< how often the step times out
};

bool NoBytes(io_context&, StepTimer&, int) { return false; }

void DoNothing(StepTimer&) {}

// Ends the step in a handler that is queued after the timer's check.
void EndStepNext(io_context& context, StepTimer& timer) {
  boost::asio::post(context, [&timer] { timer.Stop(); });
}

class UnitStepTimerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnitStepTimerTest);
  CPPUNIT_TEST(TimesOutOnlyItsOwnStep);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a timeout that ends the wrong step. It comes about if the
  // handler of an expired wait runs after its step has ended and the next one
  // has begun, and closes the connection.
  void TimesOutOnlyItsOwnStep() {
    const std::vector<StepCase> cases = {
        {"nothing arrives", DoNothing, NoBytes, 1},
        {"the step ends", [](StepTimer& timer) { timer.Stop(); }, NoBytes, 0},
        {"the next step begins",
         [](StepTimer& timer) { timer.Start(kStep, [](absl::Duration) {}); },
         NoBytes, 0},
        {"the last bytes were taken, their handler is queued", DoNothing,
         [](io_context& context, StepTimer& timer, int check) {
           if (check == 1) EndStepNext(context, timer);
           return false;
         },
         0},
        {"the last bytes arrive at the fifth check", DoNothing,
         [](io_context& context, StepTimer& timer, int check) {
           if (check == 6) EndStepNext(context, timer);
           return check <= 5;
         },
         0},
        {"some bytes arrive, but not all", DoNothing,
         [](io_context&, StepTimer&, int check) { return check <= 5; }, 1},
        {"bytes that nobody reads", DoNothing,
         [](io_context&, StepTimer&, int) { return true; }, 1},
    };
    for (const StepCase& item : cases) {
      io_context context;
      int checks = 0;
      int expired = 0;
      boost::asio::steady_timer earlier(context, std::chrono::milliseconds(1));
      std::unique_ptr<StepTimer> timer;
      timer = std::make_unique<StepTimer>(context, Clock(SteadyClock()), [&] {
        return item.has_unread_bytes(context, *timer, ++checks);
      });
      timer->Start(kStep, [&](absl::Duration late) {
        CPPUNIT_ASSERT_MESSAGE(item.what, late >= absl::ZeroDuration());
        expired += 1;
      });
      // Both timers expire in the same turn of the loop, and this handler runs
      // first.
      earlier.async_wait([&](const boost::system::error_code&) {
        item.before_handler(*timer);
      });
      absl::SleepFor(2 * kStep);
      context.run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.expired, expired);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(UnitStepTimerTest, "unit-step-timer");

}  // namespace
}  // namespace dragonflyglade
