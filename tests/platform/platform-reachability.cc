#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"
#include "tests/platform/path_stand_in.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

// The time after a cut from which on the callers' service counts.
constexpr absl::Duration kStabilityWindow = absl::Seconds(3);

// Two instances in front of two targets. The paths from the first instance to
// the targets can be cut.
class TwoInstances {
 public:
  explicit TwoInstances(
      PlatformTargetStandIn::Answer answer = SuccessfulResponse)
      : target_one(answer),
        target_two(std::move(answer)),
        path_one(this->target_one.Address()),
        path_two(this->target_two.Address()),
        harness(this->MakeOptions()),
        second(std::make_unique<gateway::Gateway>(
            this->harness.Settings("two"),
            [this] { return this->harness.Settings("two"); },
            platform::MakeWireFormat())),
        thread([this] { this->ran = this->second->Run(); }) {
    for (const auto& [id, target] : this->Targets()) {
      this->harness.PutTarget(
          id, *target, "ready",
          {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
    }
    this->harness.WaitFor([this] {
      return this->harness.Read<bool>([this] {
        const gateway::FleetState& fleet = this->harness.gateway->Fleet();
        return fleet.ListedInstances().size() == 2 &&
               fleet.Targets("s").size() == 2;
      });
    });
    this->harness.WaitFor([this] { return this->CallSecond().status == 200; });
  }

  ~TwoInstances() {
    this->second->Context().stop();
    this->thread.join();
  }

  void SetPaths(PathState state) {
    this->path_one.Set(state);
    this->path_two.Set(state);
  }

  GatewayHarness::Reply CallSecond(const std::string& path = "/any/") {
    return this->harness.SendTo(this->second->Settings().callers,
                                this->harness.Text("GET", path));
  }

  std::vector<std::pair<std::string, PlatformTargetStandIn*>> Targets() {
    return {{"i-1", &this->target_one}, {"i-2", &this->target_two}};
  }

  std::size_t RequestCount() const {
    return this->target_one.Requests().size() +
           this->target_two.Requests().size();
  }

  PlatformTargetStandIn target_one;
  PlatformTargetStandIn target_two;
  PathStandIn path_one;
  PathStandIn path_two;
  GatewayHarness harness;
  std::unique_ptr<gateway::Gateway> second;

 private:
  // The first instance knows the targets by the addresses of its paths.
  GatewayHarness::Options MakeOptions() {
    GatewayHarness::Options options;
    const auto decode = options.wire.decode_target;
    options.wire.decode_target = [this, decode](std::string_view key,
                                                std::string_view value) {
      auto record = decode(key, value);
      if (!record.Ok()) return record;
      std::string& address = record.Value().address;
      if (address == this->target_one.Address())
        address = this->path_one.Address();
      if (address == this->target_two.Address())
        address = this->path_two.Address();
      return record;
    };
    return options;
  }

  Status ran = Done{};
  std::thread thread;
};

class ReachabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityTest);
  CPPUNIT_TEST(ServesCallersOfAnInstanceWithoutPathsToTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusals by an instance whose own paths to all targets are
  // cut, while another instance that it reaches could forward its requests.
  void ServesCallersOfAnInstanceWithoutPathsToTargets() {
    struct Case {
      std::string name;
      PathState state;
      std::string model;
    };
    const std::vector<Case> cases = {
        {"hangs", PathState::kHangs, ""},
        {"hangs, with a model", PathState::kHangs, "m"},
        {"resets", PathState::kResets, ""},
        {"resets, with a model", PathState::kResets, "m"},
        {"refuses new", PathState::kRefusesNew, "m"},
        {"drops new", PathState::kDropsNew, "m"},
    };
    for (const Case& item : cases) {
      TwoInstances pair;
      const auto call = [&] {
        return item.model.empty() ? pair.harness.Call("GET", "/any/")
                                  : pair.harness.CallModel(item.model);
      };
      pair.harness.WaitFor([&] { return call().status == 200; });
      pair.SetPaths(item.state);
      const absl::Time cut = absl::Now();
      int first_tries = 0;
      int served = 0;
      while (absl::Now() < cut + 2 * kStabilityWindow) {
        const bool counts = absl::Now() >= cut + kStabilityWindow;
        const int status = call().status;
        first_tries += counts ? 1 : 0;
        served += counts && status == 200 ? 1 : 0;
        absl::SleepFor(absl::Milliseconds(50));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200, pair.CallSecond().status);
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(item.name, ": served ", served, " of ", first_tries),
          first_tries > 0 && 3 * served >= 2 * first_tries);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ReachabilityTest,
                                      "platform-reachability");

}  // namespace
}  // namespace dragonflyglade
