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

// Makes a wrapped function throw once after each Arm.
class InjectedFault {
 public:
  void Arm() { *this->armed = true; }
  bool HasThrown() const { return !*this->armed; }

  /// Wraps the function with this fault.
  template <typename R, typename... Args>
  std::function<R(Args...)> Wrap(std::function<R(Args...)> function) const {
    return [armed = this->armed, function](Args... args) {
      if (armed->exchange(false)) throw std::runtime_error("injected fault");
      return function(args...);
    };
  }

 private:
  std::shared_ptr<std::atomic<bool>> armed =
      std::make_shared<std::atomic<bool>>(false);
};

struct RequestFaultCase {
  const char* name;
  void (*inject)(const InjectedFault&, WireFormat&);
  int status;
};

class PlatformFaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformFaultsTest);
  CPPUNIT_TEST(RespondsIfServingThrows);
  CPPUNIT_TEST(WatchesTheStoreAfterAnException);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Failure: a caller gets no response and the request counts as in flight
  // forever, because an exception in its coroutine is dropped.
  void RespondsIfServingThrows() {
    const std::vector<RequestFaultCase> cases = {
        {"before the request is sent",
         [](const InjectedFault& fault, WireFormat& wire) {
           wire.target_request_fields = fault.Wrap(wire.target_request_fields);
         },
         500},
        {"when its answer is decoded",
         [](const InjectedFault& fault, WireFormat& wire) {
           wire.decode_response_head = fault.Wrap(wire.decode_response_head);
         },
         500},
    };
    for (const RequestFaultCase& item : cases) {
      InjectedFault fault;
      GatewayHarness::Options options;
      item.inject(fault, options.wire);
      GatewayHarness harness(std::move(options));
      harness.first.EnqueueAnswer([&](const RawRequest& request) {
        return SuccessfulResponse(request);
      });
      fault.Arm();
      GatewayHarness::Reply reply;
      // Responses of the store are decoded, too, and may trigger the fault
      // first.
      do {
        if (fault.HasThrown()) fault.Arm();
        reply = harness.Call("GET", "/any/");
      } while (reply.status == 200);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.status, reply.status);
      const GatewayHarness::Reply metrics =
          harness.Ask(harness.gateway->Settings().metrics, "/metrics");
      CPPUNIT_ASSERT_MESSAGE(
          item.name, absl::StrContains(metrics.text, "requests_in_flight 0\n"));
    }
  }

  // Failure: an instance looks healthy but keeps an old configuration, because
  // an exception in decoding a response of the store ends the watch.
  void WatchesTheStoreAfterAnException() {
    InjectedFault fault;
    GatewayHarness::Options options;
    options.wire.decode_store_response =
        fault.Wrap(options.wire.decode_store_response);
    GatewayHarness harness(std::move(options));
    constexpr int kFaults = 20;
    for (int i = 0; i < kFaults; ++i) {
      fault.Arm();
      harness.WaitFor([&] { return fault.HasThrown(); });
    }
    harness.PutConfig(harness.Config(2, "new"));
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/new/").status);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformFaultsTest, "platform-faults");

}  // namespace
}  // namespace dragonflyglade
