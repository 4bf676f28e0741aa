#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/synchronization/mutex.h"
#include "dragonflyglade/gateway/gateway.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using Harness = GatewayHarness;
using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

// Responds like an engine that accepts all orders and holds the model "m".
Script Engine(const RawRequest& request) {
  if (absl::StrContains(request.Line(), "/-/report")) {
    return {ResponseBytes(request, "200 OK",
                          R"({"sequence": 3, "busy": false,
                            "models": [{"name": "m"}]})")};
  }
  if (!absl::StrContains(request.Line(), "/-/order"))
    return SuccessfulResponse(request);
  return {ResponseBytes(request, "202 Accepted", "")};
}

class PlatformPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformPlacementTest);
  CPPUNIT_TEST(LoadsARequestedAdapter);
  CPPUNIT_TEST(LoadsModelsOfATerminatedTargetElsewhere);
  CPPUNIT_TEST(AcceptsOrdersAfterAFailedOne);
  CPPUNIT_TEST(DoesNotResumeLeadershipOfAnEndedLease);
  CPPUNIT_TEST(StepsDownIfAnotherInstanceIsLeader);
  CPPUNIT_TEST(EntersItselfAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The adapter is resident at no target. The request waits until the leader
  // has ordered an engine to load it, and is then sent to that engine.
  void LoadsARequestedAdapter() {
    std::string order;
    absl::Mutex mutex;
    Harness harness([&](const RawRequest& request) {
      if (absl::StrContains(request.Line(), "/-/order")) {
        absl::MutexLock lock(&mutex);
        order = request.body;
      }
      return Engine(request);
    });
    harness.PutTarget("i-1", harness.first, "ready",
                      {{{"name", "m"}, {"adapters", json::array()}}});
    harness.WaitFor([&] { return harness.CallModel("m/a7").status == 200; });
    absl::MutexLock lock(&mutex);
    const json sent = json::parse(order);
    CPPUNIT_ASSERT_EQUAL(std::string("a7"),
                         sent.at("adapter").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(3, sent.at("expected").get<int>());
    CPPUNIT_ASSERT(sent.at("fencing_token").get<int>() > 0);
  }

  // Failure: the model of a crashed engine is loaded nowhere else until the
  // engine's entry expires, seconds later. Requests for the model use up their
  // attempts at that engine within milliseconds.
  void LoadsModelsOfATerminatedTargetElsewhere() {
    std::atomic<bool> ordered = false;
    Harness harness([&](const RawRequest& request) -> Script {
      if (absl::StrContains(request.Line(), "/-/report")) {
        return {
            ResponseBytes(request, "200 OK",
                          R"({"sequence": 0, "busy": false, "models": []})")};
      }
      const bool loads = absl::StrContains(request.Line(), "/-/order") &&
                         absl::StrContains(request.body, "\"load\"");
      if (loads) ordered = true;
      return Engine(request);
    });
    harness.store.Put("servers/i-dead", json{{"service", "s"},
                                             {"address", "127.0.0.1:1"},
                                             {"zone", "z"},
                                             {"slots", 4},
                                             {"state", "ready"},
                                             {"born", 1},
                                             {"models", {{{"name", "m"}}}}}
                                            .dump());
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    harness.WaitFor([&] {
      return harness.Read<bool>(
          [&] { return harness.gateway->Fleet().Target("i-dead") != nullptr; });
    });
    const Harness::Reply reply = harness.CallModel("m");
    CPPUNIT_ASSERT_EQUAL(503, reply.status);
    CPPUNIT_ASSERT(absl::StrContains(reply.Body(), "model_not_resident"));
    harness.WaitFor([&] {
      harness.CallModel("m");
      return ordered.load();
    });
  }

  // Failure: an engine gets no further orders. An exception in the coroutine of
  // an order leaves the engine marked as busy.
  void AcceptsOrdersAfterAFailedOne() {
    gateway::WireFormat throwing = platform::MakeWireFormat();
    throwing.encode_order = [encode = throwing.encode_order,
                             used = std::make_shared<std::atomic<bool>>(false)](
                                std::string_view target,
                                const gateway::EngineOrder& order) {
      if (!used->exchange(true)) throw std::runtime_error("not encoded");
      return encode(target, order);
    };
    struct OrderCase {
      const char* name;
      gateway::WireFormat wire;
      const char* first_model;
    };
    const std::vector<OrderCase> cases = {
        {"the encoder throws", throwing, "m/a7"},
        {"the caller's adapter name is not UTF-8 text",
         platform::MakeWireFormat(), "m/a\xff"},
    };
    for (const OrderCase& item : cases) {
      Harness::Options options;
      options.answer = Engine;
      options.wire = item.wire;
      Harness harness(std::move(options));
      harness.PutTarget("i-1", harness.first, "ready",
                        {{{"name", "m"}, {"adapters", json::array()}}});
      harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
      harness.CallModel(item.first_model);
      harness.WaitFor([&] { return harness.CallModel("m/a7").status == 200; });
    }
  }

  // Failure: engines get orders from two instances, the later ones with the
  // lower fencing token. A leader is slow and its lease ends; under a new lease
  // it still finds its old entry as leader in the store, and goes on with the
  // old fencing token.
  void DoesNotResumeLeadershipOfAnEndedLease() {
    Harness harness;
    const std::string key(gateway::FleetState::kLeaderKey);
    const std::string own = gateway::FleetState::InstanceKey("one");
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    const std::uint64_t lease = harness.store.LeaseOf(key);
    harness.store.RejectRenewals();
    harness.WaitFor([&] { return harness.store.LeaseOf(own) > lease; });
    const int renewals = harness.store.Renewals();
    harness.WaitFor([&] { return harness.store.Renewals() > renewals; });
    CPPUNIT_ASSERT_EQUAL(lease, harness.store.LeaseOf(key));
    CPPUNIT_ASSERT(!harness.HoldsLeaderLease());
    // The store removes the old entry, and the instance can become leader
    // again.
    harness.store.Delete(key);
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    CPPUNIT_ASSERT(harness.store.LeaseOf(key) > lease);
  }

  // Failure: a replaced leader sends an order. When the store shows another
  // leader, the instance must not send any, whatever it knows of its own lease.
  void StepsDownIfAnotherInstanceIsLeader() {
    Harness harness;
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    gateway::InstanceRecord other;
    other.name = "two";
    other.incarnation = "x";
    harness.store.Put(std::string(gateway::FleetState::kLeaderKey),
                      gateway::EncodeInstanceRecord(other));
    harness.WaitFor([&] { return !harness.HoldsLeaderLease(); });
  }

  // Guards against an instance that serves unlisted: the last call of the
  // process before it, with the same name, was carried out late.
  void EntersItselfAgain() {
    Harness harness;
    const std::string key = gateway::FleetState::InstanceKey("one");
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    harness.store.Delete(key);
    harness.WaitFor([&] { return !harness.store.Get(key).empty(); });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformPlacementTest,
                                      "platform-placement");

}  // namespace
}  // namespace dragonflyglade
