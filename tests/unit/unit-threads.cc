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

// An upper bound for waits that normally take milliseconds.
constexpr absl::Duration kWaitLimit = absl::Seconds(10);

struct OrderCase {
  const char* description;
  std::string body;
  bool is_valid;
};

class ThreadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ThreadsTest);
  CPPUNIT_TEST(RunsAJobAgainAfterAnException);
  CPPUNIT_TEST(FinishesATaskAfterAnException);
  CPPUNIT_TEST(DoesNotWaitForATaskWithoutAThread);
  CPPUNIT_TEST(RejectsMalformedOrderResponses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: an exception thrown by a periodic job terminates the process and
  // all requests that it is serving.
  void RunsAJobAgainAfterAnException() {
    std::atomic<int> runs{0};
    absl::Notification second_run;
    PeriodicWorker worker([&] {
      if (++runs == 1) throw std::runtime_error("once");
      if (runs == 2) second_run.Notify();
      return absl::Milliseconds(1);
    });
    worker.Start();
    CPPUNIT_ASSERT(second_run.WaitForNotificationWithTimeout(kWaitLimit));
  }

  // Failure: an exception thrown by a background task terminates the process
  // and all requests that it is serving.
  void FinishesATaskAfterAnException() {
    std::atomic<bool> ran{false};
    {
      TaskGroup tasks;
      tasks.Run([] { throw std::runtime_error("at once"); });
      tasks.Run([&] { ran = true; });
    }
    CPPUNIT_ASSERT(ran);
  }

  // Failure: a task whose thread cannot be created is counted as running
  // forever, so the destructor of its group never returns. The thread creation
  // fails here because of a stack size that no machine has.
  void DoesNotWaitForATaskWithoutAThread() {
    constexpr std::size_t kUnavailableStackBytes = std::size_t{1} << 46;
    pthread_attr_t default_attributes;
    CPPUNIT_ASSERT_EQUAL(0, pthread_getattr_default_np(&default_attributes));
    pthread_attr_t large_attributes;
    CPPUNIT_ASSERT_EQUAL(0, pthread_attr_init(&large_attributes));
    CPPUNIT_ASSERT_EQUAL(0, pthread_attr_setstacksize(&large_attributes,
                                                      kUnavailableStackBytes));
    auto tasks = std::make_unique<TaskGroup>();
    CPPUNIT_ASSERT_EQUAL(0, pthread_setattr_default_np(&large_attributes));
    bool failed = false;
    try {
      tasks->Run([] {});
    } catch (const std::system_error&) {
      failed = true;
    }
    CPPUNIT_ASSERT_EQUAL(0, pthread_setattr_default_np(&default_attributes));
    CPPUNIT_ASSERT(failed);
    const int running = tasks->Running();
    // If the test fails, the group is leaked: its destructor would never
    // return.
    if (running > 0) static_cast<void>(tasks.release());
    CPPUNIT_ASSERT_EQUAL(0, running);
  }

  // Failure: an order's response with fields of an unexpected type throws an
  // exception in the thread that sent the order.
  void RejectsMalformedOrderResponses() {
    const std::vector<OrderCase> cases = {
        {"a complete response", R"({"boot_id": "b", "error": ""})", true},
        {"omitted fields", "{}", true},
        {"a number as boot id", R"({"boot_id": 5})", false},
        {"an object as error", R"({"boot_id": "b", "error": {}})", false},
        {"a list in place of an object", "[]", false},
        {"malformed JSON", "?", false},
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
      const Result<OrderResult> reply = engine.SendOrder(EngineOrder());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.description, item.is_valid, reply.Ok());
      if (!item.is_valid) {
        CPPUNIT_ASSERT_MESSAGE(item.description,
                               reply.Error().code == Errc::kOutcomeUnknown);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ThreadsTest, "unit-threads");

}  // namespace
}  // namespace dragonflyglade
