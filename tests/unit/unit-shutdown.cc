#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <set>
#include <utility>
// This comment keeps clang-format from sorting <utility> after the next
// headers.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_loop.h"
#include "dragonflyglade/gateway/stop_deadline.h"

namespace dragonflyglade::gateway {
namespace {

// Is registered in a set of the part that it refers to during its lifetime.
class Registered {
 public:
  explicit Registered(std::set<int>& part) : part(part) { part.insert(1); }
  ~Registered() { this->part.erase(1); }
  Registered(const Registered&) = delete;
  Registered& operator=(const Registered&) = delete;

 private:
  std::set<int>& part;
};

boost::asio::awaitable<void> WaitRegistered(AsyncCondition& condition,
                                            std::set<int>& part) {
  const Registered registered(part);
  co_await condition.Wait(absl::Hours(1));
}

class ShutdownTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(DestroysTasksBeforeTheLoop);
  CPPUNIT_TEST(ForgetsDestroyedWaits);
  CPPUNIT_TEST(ActsIfTheProcessDoesNotEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against coroutines whose locals reach parts that are gone.
  void DestroysTasksBeforeTheLoop() {
    EventLoop loop(1);
    std::set<int> part;
    AsyncCondition condition(loop);
    boost::asio::co_spawn(loop, WaitRegistered(condition, part),
                          boost::asio::detached);
    loop.poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, part.size());
    loop.DestroyTasks();
    CPPUNIT_ASSERT(part.empty());
  }

  // Guards against a notification that reaches the timer of a coroutine that
  // was destroyed while it waited.
  void ForgetsDestroyedWaits() {
    EventLoop loop(1);
    std::set<int> part;
    auto condition = std::make_unique<AsyncCondition>(loop);
    for (int i = 0; i < 3; ++i) {
      boost::asio::co_spawn(loop, WaitRegistered(*condition, part),
                            boost::asio::detached);
    }
    loop.poll();
    loop.DestroyTasks();
    condition->Notify();
    condition.reset();
  }

  // Guards against a stopped process that stays, since its event loop or a
  // destructor does not end.
  void ActsIfTheProcessDoesNotEnd() {
    struct Case {
      absl::Duration end_after;
      int expirations;
    };
    const absl::Duration deadline = absl::Milliseconds(300);
    for (const Case& item :
         {Case{absl::ZeroDuration(), 0}, Case{3 * deadline, 1}}) {
      std::atomic<int> expirations = 0;
      {
        StopDeadline stop_deadline([&expirations] { ++expirations; });
        stop_deadline.Start(deadline);
        stop_deadline.Start(absl::ZeroDuration());
        absl::SleepFor(item.end_after);
      }
      CPPUNIT_ASSERT_EQUAL(item.expirations, expirations.load());
    }
    const StopDeadline never_started([] { CPPUNIT_FAIL("expired"); });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ShutdownTest, "unit-shutdown");

}  // namespace
}  // namespace dragonflyglade::gateway
