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

using Stage = GatewayHarness;
using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

// Takes all orders and holds the model "m".
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
  CPPUNIT_TEST(PlacesAnAdapterThatIsAskedFor);
  CPPUNIT_TEST(LoadsElsewhereWhatADeadTargetHeld);
  CPPUNIT_TEST(AFailedOrderHoldsUpNoLaterOne);
  CPPUNIT_TEST(DoesNotTakeUpADutyOfAnEndedLease);
  CPPUNIT_TEST(GivesUpADutyThatAnotherHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The adapter is nowhere. The request waits while the holder of the placing
  // duty orders it, and is then sent to the engine that has it.
  void PlacesAnAdapterThatIsAskedFor() {
    std::string order;
    absl::Mutex mutex;
    Stage stage([&](const RawRequest& request) {
      if (absl::StrContains(request.Line(), "/-/order")) {
        absl::MutexLock lock(&mutex);
        order = request.body;
      }
      return Engine(request);
    });
    stage.PutTarget("i-1", stage.first, "ready",
                    {{{"name", "m"}, {"adapters", json::array()}}});
    stage.WaitFor([&] { return stage.CallModel("m/a7").status == 200; });
    absl::MutexLock lock(&mutex);
    const json sent = json::parse(order);
    CPPUNIT_ASSERT_EQUAL(std::string("a7"),
                         sent.at("adapter").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(3, sent.at("expected").get<int>());
    CPPUNIT_ASSERT(sent.at("fencing_token").get<int>() > 0);
  }

  // An engine has crashed and its entry stands for some seconds. Requests for
  // its model spent all their tries there within milliseconds, and the model
  // was loaded nowhere else until the entry lapsed.
  void LoadsElsewhereWhatADeadTargetHeld() {
    std::atomic<bool> ordered = false;
    Stage stage([&](const RawRequest& request) -> Script {
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
    stage.store.Put("servers/i-dead", json{{"service", "s"},
                                           {"address", "127.0.0.1:1"},
                                           {"zone", "z"},
                                           {"slots", 4},
                                           {"state", "ready"},
                                           {"born", 1},
                                           {"models", {{{"name", "m"}}}}}
                                          .dump());
    stage.WaitFor([&] { return stage.HoldsLeaderLease(); });
    stage.WaitFor([&] {
      return stage.Read<bool>(
          [&] { return stage.gateway->Fleet().Target("i-dead") != nullptr; });
    });
    const Stage::Reply reply = stage.CallModel("m");
    CPPUNIT_ASSERT_EQUAL(503, reply.status);
    CPPUNIT_ASSERT(absl::StrContains(reply.Body(), "model_not_resident"));
    stage.WaitFor([&] {
      stage.CallModel("m");
      return ordered.load();
    });
  }

  // An exception in an order's coroutine left the engine "ordering" for good.
  void AFailedOrderHoldsUpNoLaterOne() {
    gateway::WireFormat throws = platform::MakeWireFormat();
    throws.encode_order = [sound = throws.encode_order,
                           used = std::make_shared<std::atomic<bool>>(false)](
                              std::string_view target,
                              const gateway::EngineOrder& order) {
      if (!used->exchange(true)) throw std::runtime_error("not encoded");
      return sound(target, order);
    };
    struct OrderCase {
      const char* what;
      gateway::WireFormat wire;
      const char* first_model;
    };
    const std::vector<OrderCase> cases = {
        {"the encoder throws", throws, "m/a7"},
        {"a caller's adapter that is no text", platform::MakeWireFormat(),
         "m/a\xff"},
    };
    for (const OrderCase& item : cases) {
      Stage::Options options;
      options.answer = Engine;
      options.wire = item.wire;
      Stage stage(std::move(options));
      stage.PutTarget("i-1", stage.first, "ready",
                      {{{"name", "m"}, {"adapters", json::array()}}});
      stage.WaitFor([&] { return stage.HoldsLeaderLease(); });
      stage.CallModel(item.first_model);
      stage.WaitFor([&] { return stage.CallModel("m/a7").status == 200; });
    }
  }

  // Engines get orders from two instances, the later ones with the lower
  // fence. The lease of the first ended while it was slow; under a new lease
  // it still saw its own old entry as holder and went on with the old fence.
  void DoesNotTakeUpADutyOfAnEndedLease() {
    Stage stage;
    const std::string key(gateway::FleetState::kLeaderKey);
    const std::string own = gateway::FleetState::InstanceKey("one");
    stage.WaitFor([&] { return stage.HoldsLeaderLease(); });
    const std::uint64_t lease = stage.store.LeaseOf(key);
    stage.store.RejectRenewals();
    stage.WaitFor([&] { return stage.store.LeaseOf(own) > lease; });
    const int renewals = stage.store.Renewals();
    stage.WaitFor([&] { return stage.store.Renewals() > renewals; });
    CPPUNIT_ASSERT_EQUAL(lease, stage.store.LeaseOf(key));
    CPPUNIT_ASSERT(!stage.HoldsLeaderLease());
    // The store lets the old entry go, and the duty can be taken anew.
    stage.store.Delete(key);
    stage.WaitFor([&] { return stage.HoldsLeaderLease(); });
    CPPUNIT_ASSERT(stage.store.LeaseOf(key) > lease);
  }

  // The store shows another holder, whatever this instance knows of its own
  // lease: it must not send one more order.
  void GivesUpADutyThatAnotherHolds() {
    Stage stage;
    stage.WaitFor([&] { return stage.HoldsLeaderLease(); });
    gateway::InstanceRecord other;
    other.name = "two";
    other.incarnation = "x";
    stage.store.Put(std::string(gateway::FleetState::kLeaderKey),
                    gateway::EncodeInstanceRecord(other));
    stage.WaitFor([&] { return !stage.HoldsLeaderLease(); });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformPlacementTest,
                                      "platform-placement");

}  // namespace
}  // namespace dragonflyglade
