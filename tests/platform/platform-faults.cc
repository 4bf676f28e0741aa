#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using gateway::WireFormat;

// Throws once after it was told to.
class Fault {
 public:
  void Arm() { *this->armed = true; }
  bool Happened() const { return !*this->armed; }

  /// The function, with this fault in it.
  template <typename R, typename... Args>
  std::function<R(Args...)> In(std::function<R(Args...)> function) const {
    return [armed = this->armed, function](Args... args) {
      if (armed->exchange(false)) throw std::runtime_error("a fault");
      return function(args...);
    };
  }

 private:
  std::shared_ptr<std::atomic<bool>> armed =
      std::make_shared<std::atomic<bool>>(false);
};

struct RequestFaultCase {
  const char* what;
  void (*put)(const Fault&, WireFormat&);
  int status;
};

struct TaskFaultCase {
  const char* what;
  void (*put)(const Fault&, WireFormat&);
};

class PlatformFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformFaultsTest);
  CPPUNIT_TEST(ARequestWhoseServingThrowsIsAnswered);
  CPPUNIT_TEST(AStoreAnswerThatThrowsDoesNotEndTheFollowing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The exception was dropped with the request, which counted as in flight on.
  void ARequestWhoseServingThrowsIsAnswered() {
    const std::vector<RequestFaultCase> cases = {
        {"before it is sent",
         [](const Fault& fault, WireFormat& wire) {
           wire.target_request_fields = fault.In(wire.target_request_fields);
         },
         500},
        {"at its answer",
         [](const Fault& fault, WireFormat& wire) {
           wire.decode_response_head = fault.In(wire.decode_response_head);
         },
         500},
    };
    for (const RequestFaultCase& item : cases) {
      Fault fault;
      GatewayHarness::Options options;
      item.put(fault, options.wire);
      GatewayHarness stage(std::move(options));
      stage.first.EnqueueAnswer([&](const RawRequest& request) {
        return SuccessfulResponse(request);
      });
      fault.Arm();
      GatewayHarness::Reply reply;
      // Answers of the store are decoded, too, and may meet the fault first.
      do {
        if (fault.Happened()) fault.Arm();
        reply = stage.Call("GET", "/any/");
      } while (reply.status == 200);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.status, reply.status);
      const GatewayHarness::Reply metrics =
          stage.Ask(stage.gateway->Settings().metrics, "/metrics");
      CPPUNIT_ASSERT_MESSAGE(
          item.what, absl::StrContains(metrics.text, "requests_in_flight 0\n"));
    }
  }

  // The process went on and looked healthy, with the configuration of before.
  void AStoreAnswerThatThrowsDoesNotEndTheFollowing() {
    Fault fault;
    GatewayHarness::Options options;
    options.wire.decode_store_response =
        fault.In(options.wire.decode_store_response);
    GatewayHarness stage(std::move(options));
    constexpr int kTimes = 20;
    for (int i = 0; i < kTimes; ++i) {
      fault.Arm();
      stage.WaitFor([&] { return fault.Happened(); });
    }
    stage.PutConfig(stage.Config(2, "new"));
    CPPUNIT_ASSERT_EQUAL(200, stage.Call("GET", "/new/").status);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformFaultsTest, "platform-faults");

}  // namespace
}  // namespace dragonflyglade
