#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "tests/platform/two_instances.h"

namespace dragonflyglade {
namespace {

// One instance in front of targets, some of which end at once.
struct ManyTargets {
  static constexpr std::size_t kTargets = 12;
  static constexpr std::size_t kEnded = 4;

  ManyTargets() {
    for (std::size_t i = 0; i < kTargets; ++i) {
      this->targets.push_back(
          std::make_unique<PlatformTargetStandIn>(SuccessfulResponse));
      this->harness.PutTarget(absl::StrCat("m-", i), *this->targets[i],
                              "ready");
    }
    this->harness.WaitFor([this] {
      return this->harness.Read<bool>([this] {
        return this->harness.gateway->Fleet().Targets("s").size() >= kTargets;
      });
    });
  }

  void End() {
    for (std::size_t i = 0; i < kEnded; ++i) this->targets[i]->Crash();
  }

  // @return the statuses of calls that are made at the same time
  std::vector<int> CallTogether(int count) {
    std::vector<std::future<int>> calls;
    calls.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      calls.push_back(std::async(std::launch::async, [this] {
        return this->harness.Call("GET", "/any/").status;
      }));
    }
    std::vector<int> statuses;
    statuses.reserve(calls.size());
    for (auto& call : calls) statuses.push_back(call.get());
    return statuses;
  }

  std::string Metrics() {
    return this->harness
        .Ask(this->harness.gateway->Settings().metrics, "/metrics")
        .text;
  }

  std::vector<std::unique_ptr<PlatformTargetStandIn>> targets;
  GatewayHarness harness;
};

class MassCrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MassCrashTest);
  CPPUNIT_TEST(ServesWhileManyTargetsEnd);
  CPPUNIT_TEST(TriesItsOwnPathBeforeARefusal);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an instance that takes the end of many targets for the loss
  // of its own paths, and refuses what the others could serve.
  void ServesWhileManyTargetsEnd() {
    ManyTargets play;
    constexpr int kCallsAtOnce = 16;
    constexpr int kRounds = 4;
    play.CallTogether(kCallsAtOnce);
    play.End();
    for (int round = 0; round < kRounds; ++round) {
      for (const int status : play.CallTogether(kCallsAtOnce)) {
        CPPUNIT_ASSERT_EQUAL(200, status);
      }
    }
    const std::string metrics = play.Metrics();
    CPPUNIT_ASSERT_MESSAGE(metrics,
                           !absl::StrContains(metrics, "\nisolations"));
  }

  // Guards against refusals by an instance whose paths are back, since no probe
  // is due yet and no other instance can help.
  void TriesItsOwnPathBeforeARefusal() {
    TwoInstances pair;
    TwoInstances::Set(pair.second_paths, PathState::kResets);
    pair.Isolate();
    for (int i = 0; i < 10; ++i) pair.CallSecond();
    constexpr int kTimes = 3;
    for (int i = 0; i < kTimes; ++i) {
      CPPUNIT_ASSERT_EQUAL(503, pair.Call("").status);
      TwoInstances::Set(pair.first_paths, PathState::kOpen);
      CPPUNIT_ASSERT_EQUAL(200, pair.Call("").status);
      pair.Isolate();
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(MassCrashTest, "platform-mass-crash");

}  // namespace
}  // namespace dragonflyglade
