#include <cppunit/extensions/HelperMacros.h>
#include <httplib.h>
#include <pthread.h>

#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <system_error>
#include <vector>

#include "absl/synchronization/notification.h"
#include "dragonflyglade/net/http_server.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/net/task_group.h"
#include "dragonflyglade/target/engine_client.h"

namespace dragonflyglade {
namespace {

// The longest that anything here may take; normally it is milliseconds.
constexpr absl::Duration kPatience = absl::Seconds(10);

struct OrderCase {
  const char* what;
  std::string body;
  bool understood;
};

class ThreadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ThreadsTest);
  CPPUNIT_TEST(AJobThatThrowsIsDoneAgain);
  CPPUNIT_TEST(ATaskThatThrowsIsCountedAsEnded);
  CPPUNIT_TEST(ATaskWithoutAThreadIsNotWaitedFor);
  CPPUNIT_TEST(AnOddAnswerToAnOrderIsAFailure);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An exception in a round ended the process, with all that it served.
  void AJobThatThrowsIsDoneAgain() {
    std::atomic<int> rounds{0};
    absl::Notification again;
    PeriodicWorker worker([&] {
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

  // A task whose thread could not start counted as running for good.
  void ATaskWithoutAThreadIsNotWaitedFor() {
    constexpr std::size_t kMoreThanThereIs = std::size_t{1} << 46;
    pthread_attr_t usual;
    CPPUNIT_ASSERT_EQUAL(0, pthread_getattr_default_np(&usual));
    pthread_attr_t large;
    CPPUNIT_ASSERT_EQUAL(0, pthread_attr_init(&large));
    CPPUNIT_ASSERT_EQUAL(0,
                         pthread_attr_setstacksize(&large, kMoreThanThereIs));
    auto tasks = std::make_unique<TaskGroup>();
    CPPUNIT_ASSERT_EQUAL(0, pthread_setattr_default_np(&large));
    bool failed = false;
    try {
      tasks->Run([] {});
    } catch (const std::system_error&) {
      failed = true;
    }
    CPPUNIT_ASSERT_EQUAL(0, pthread_setattr_default_np(&usual));
    CPPUNIT_ASSERT(failed);
    const int running = tasks->Running();
    // Its destructor would wait for good.
    if (running > 0) static_cast<void>(tasks.release());
    CPPUNIT_ASSERT_EQUAL(0, running);
  }

  // Fields of another type threw in the thread that gave the order.
  void AnOddAnswerToAnOrderIsAFailure() {
    const std::vector<OrderCase> cases = {
        {"as it should be", R"({"boot_id": "b", "error": ""})", true},
        {"fields left out", "{}", true},
        {"a number for the process", R"({"boot_id": 5})", false},
        {"an object for the error", R"({"boot_id": "b", "error": {}})", false},
        {"no object", "[]", false},
        {"no JSON", "?", false},
    };
    for (const OrderCase& item : cases) {
      HttpServer server({"127.0.0.1", 0}, 2);
      server.HttplibServer().Post(
          ".*", [&](const httplib::Request&, httplib::Response& response) {
            response.set_content(item.body, "application/json");
          });
      const Result<int> port = server.Start("listen");
      CPPUNIT_ASSERT(port.Ok());
      const EngineClient engine({"127.0.0.1", port.Value()}, "t",
                                TargetCallOptions());
      const Result<OrderResult> reply = engine.Order(EngineOrder());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.understood, reply.Ok());
      if (!item.understood) {
        CPPUNIT_ASSERT_MESSAGE(item.what,
                               reply.Error().code == Errc::kOutcomeUnknown);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ThreadsTest, "unit-threads");

}  // namespace
}  // namespace dragonflyglade
