#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <stdexcept>

#include "absl/synchronization/notification.h"
#include "dragonflyglade/net/task_group.h"
#include "dragonflyglade/net/worker.h"

namespace dragonflyglade {
namespace {

// The longest that anything here may take; normally it is milliseconds.
constexpr absl::Duration kPatience = absl::Seconds(10);

class ThreadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ThreadsTest);
  CPPUNIT_TEST(AJobThatThrowsIsDoneAgain);
  CPPUNIT_TEST(ATaskThatThrowsIsCountedAsEnded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An exception in a round ended the process, with all that it served.
  void AJobThatThrowsIsDoneAgain() {
    std::atomic<int> rounds{0};
    absl::Notification again;
    Worker worker([&] {
      if (++rounds == 1) throw std::runtime_error("once");
      if (rounds == 2) again.Notify();
      return absl::Milliseconds(1);
    });
    worker.Start();
    CPPUNIT_ASSERT(again.WaitForNotificationWithTimeout(kPatience));
  }

  // An exception in a task ended the process, with all that it served.
  void ATaskThatThrowsIsCountedAsEnded() {
    std::atomic<bool> ran{false};
    {
      TaskGroup tasks;
      tasks.Run([] { throw std::runtime_error("at once"); });
      tasks.Run([&] { ran = true; });
    }
    CPPUNIT_ASSERT(ran);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ThreadsTest, "unit-threads");

}  // namespace
}  // namespace dragonflyglade
