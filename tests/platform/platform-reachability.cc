#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/two_instances.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

// The time after a cut from which on the callers' service counts.
constexpr absl::Duration kStabilityWindow = absl::Seconds(3);
constexpr absl::Duration kCallInterval = absl::Milliseconds(50);
// Longer than a call to the store may take.
constexpr absl::Duration kFaultTime = absl::Seconds(1);
// Within this time after the store's return some instance leads.
constexpr absl::Duration kLeaderTime = absl::Seconds(5);

// Calls the first instance at a steady rate for two stability windows.
// @return the statuses of the calls in the second window
std::vector<int> CallAfterCut(TwoInstances& pair, const std::string& model) {
  const absl::Time cut = absl::Now();
  std::vector<std::future<int>> calls;
  std::size_t uncounted = 0;
  while (absl::Now() < cut + 2 * kStabilityWindow) {
    if (absl::Now() < cut + kStabilityWindow) uncounted += 1;
    calls.push_back(std::async(std::launch::async, [&pair, model] {
      return pair.Call(model).status;
    }));
    absl::SleepFor(kCallInterval);
  }
  std::vector<int> statuses;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const int status = calls[i].get();
    if (i >= uncounted) statuses.push_back(status);
  }
  return statuses;
}

// Two instances in front of targets that can be made to answer nothing.
struct HangingTargets {
  std::atomic<bool> hang = false;
  TwoInstances pair{[this](const RawRequest& request) {
    PlatformTargetStandIn::Script script = SuccessfulResponse(request);
    if (this->hang) script = {"", false, true};
    return script;
  }};
};

using Call = std::future<GatewayHarness::Reply>;

// Sends requests to the second instance at the same time.
std::vector<Call> CallSecond(TwoInstances& pair, std::size_t count) {
  std::vector<Call> calls;
  calls.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    calls.push_back(
        std::async(std::launch::async, [&pair] { return pair.CallSecond(); }));
  }
  return calls;
}

class ReachabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityTest);
  CPPUNIT_TEST(ServesCallersOfAnInstanceWithoutPathsToTargets);
  CPPUNIT_TEST(RefusesAtOnceIfNoInstanceHasAPath);
  CPPUNIT_TEST(NeverRepeatsWhatMayHaveRunBehindATunnel);
  CPPUNIT_TEST(TakesNoEndOfATunnelForTheEndOfAnAnswer);
  CPPUNIT_TEST(EndsWorkBehindATunnelWhenTheCallerLeaves);
  CPPUNIT_TEST(EndsWithRequestsInFlight);
  CPPUNIT_TEST(EndsItsRequestsBeforeRunReturns);
  CPPUNIT_TEST(ServesAnswersThatEndWithTheirConnection);
  CPPUNIT_TEST(UsesItsOwnPathsAgain);
  CPPUNIT_TEST(GivesLeadershipToAnInstanceWithAPath);
  CPPUNIT_TEST(SomeInstanceLeadsIfTheStoreFailsMeanwhile);
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
      pair.harness.WaitFor([&] { return pair.Call(item.model).status == 200; });
      TwoInstances::Set(pair.first_paths, item.state);
      const std::vector<int> statuses = CallAfterCut(pair, item.model);
      const auto served = std::count(statuses.begin(), statuses.end(), 200);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200, pair.CallSecond().status);
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(item.name, ": served ", served, " of ", statuses.size()),
          3 * served >= 2 * static_cast<std::int64_t>(statuses.size()));
    }
  }

  // Guards against callers who are held while two isolated instances hand
  // their requests to each other, and against a false cause and time to return.
  void RefusesAtOnceIfNoInstanceHasAPath() {
    TwoInstances pair;
    TwoInstances::Set(pair.second_paths, PathState::kResets);
    pair.Isolate();
    for (int i = 0; i < 10; ++i) pair.CallSecond();
    const std::size_t before = pair.RequestCount();
    for (const char* model : {"", "m"}) {
      const absl::Time start = absl::Now();
      const GatewayHarness::Reply reply = pair.Call(model);
      CPPUNIT_ASSERT(absl::Now() - start < absl::Milliseconds(300));
      CPPUNIT_ASSERT_EQUAL(503, reply.status);
      CPPUNIT_ASSERT(absl::StrContains(reply.text, "targets_unreachable"));
      const double retry_after = std::stod(reply.Field("Retry-After"));
      CPPUNIT_ASSERT(retry_after > 0 && retry_after <= 1);
    }
    CPPUNIT_ASSERT_EQUAL(before, pair.RequestCount());
  }

  // Guards against a payment that is made twice when the instance that forwards
  // it ends, and against a refusal that says it was not made.
  void NeverRepeatsWhatMayHaveRunBehindATunnel() {
    HangingTargets targets;
    TwoInstances& pair = targets.pair;
    pair.Isolate();
    targets.hang = true;
    const std::size_t before = pair.RequestCount();
    auto call = std::async(std::launch::async, [&pair] {
      return pair.harness.Call("POST", "/once/").status;
    });
    pair.harness.WaitFor([&] { return pair.RequestCount() > before; });
    pair.StopSecond();
    CPPUNIT_ASSERT_EQUAL(502, call.get());
    CPPUNIT_ASSERT_EQUAL(before + 1, pair.RequestCount());
  }

  // Guards against half of an answer that looks whole, since its end is the end
  // of a connection and the forwarding instance's process ended.
  void TakesNoEndOfATunnelForTheEndOfAnAnswer() {
    std::atomic<bool> hangs = false;
    TwoInstances pair([&hangs](const RawRequest& request) {
      PlatformTargetStandIn::Script script = SuccessfulResponse(request);
      if (hangs) {
        script = {absl::StrCat("HTTP/1.1 200 OK\r\n", kSigned,
                               "X-Dragonflyglade-Attempt-Id: ",
                               request.Field("X-Dragonflyglade-Attempt-Id"),
                               "\r\n\r\nhalf"),
                  false, true};
      }
      return script;
    });
    pair.Isolate();
    hangs = true;
    const std::size_t before = pair.RequestCount();
    auto call = std::async(std::launch::async, [&pair] {
      return pair.harness.Call("POST", "/once/").status;
    });
    pair.harness.WaitFor([&] { return pair.RequestCount() > before; });
    absl::SleepFor(absl::Milliseconds(100));
    pair.StopSecond();
    CPPUNIT_ASSERT_EQUAL(502, call.get());
  }

  // Guards against sound answers without a length or chunks that are lost,
  // since the end of a tunnel is no proof, and against a broken stream that
  // looks whole.
  void ServesAnswersThatEndWithTheirConnection() {
    struct Case {
      std::string name;
      std::string path;
      std::string type;
      std::string body;
      bool whole;
    };
    const std::vector<Case> cases = {
        {"an answer", "/once/", "text/plain", "whole", true},
        {"a stream", "/cut/", "text/event-stream", "id: 1\ndata: a\n\n", true},
        {"a stream that breaks off inside an event", "/cut/",
         "text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", false},
    };
    for (const bool tunneled : {false, true}) {
      std::atomic<const Case*> current = nullptr;
      TwoInstances pair([&current](const RawRequest& request) {
        PlatformTargetStandIn::Script script = SuccessfulResponse(request);
        const Case* item = current;
        if (item == nullptr) return script;
        script = {absl::StrCat("HTTP/1.1 200 OK\r\n", kSigned,
                               "X-Dragonflyglade-Attempt-Id: ",
                               request.Field("X-Dragonflyglade-Attempt-Id"),
                               "\r\nContent-Type: ", item->type, "\r\n\r\n",
                               item->body),
                  true};
        return script;
      });
      if (tunneled) pair.Isolate();
      for (const Case& item : cases) {
        current = &item;
        const std::string name =
            absl::StrCat(item.name, ", tunnel: ", tunneled);
        const GatewayHarness::Reply reply =
            pair.harness.Call("POST", item.path);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, reply.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, item.whole, reply.ended_whole);
        const std::string first = item.body.substr(0, 5);
        CPPUNIT_ASSERT_MESSAGE(name, absl::StrContains(reply.text, first));
      }
    }
  }

  // Guards against work for callers who have left.
  void EndsWorkBehindATunnelWhenTheCallerLeaves() {
    HangingTargets targets;
    TwoInstances& pair = targets.pair;
    pair.Isolate();
    targets.hang = true;
    const std::size_t before = pair.RequestCount();
    const auto ended = [&pair] {
      return pair.target_one.ConnectionsClosedByPeer() +
             pair.target_two.ConnectionsClosedByPeer();
    };
    const int ended_before = ended();
    auto socket =
        pair.harness.Connect(pair.harness.gateway->Settings().callers);
    boost::asio::write(
        *socket, boost::asio::buffer(pair.harness.Text("POST", "/once/")));
    pair.harness.WaitFor([&] { return pair.RequestCount() > before; });
    const absl::Time left = absl::Now();
    socket.reset();
    pair.harness.WaitFor([&] { return ended() > ended_before; });
    CPPUNIT_ASSERT(absl::Now() - left < absl::Milliseconds(500));
  }

  // Guards against a process that does not end, since what its requests refer
  // to is destroyed before them.
  void EndsWithRequestsInFlight() {
    constexpr std::size_t kRequests = 20;
    HangingTargets targets;
    TwoInstances& pair = targets.pair;
    targets.hang = true;
    const std::size_t before = pair.RequestCount();
    std::vector<Call> calls = CallSecond(pair, kRequests);
    // A caller that connects later would look for an instance that has ended.
    pair.harness.WaitFor(
        [&] { return pair.RequestCount() >= before + kRequests; });
    pair.StopSecond();
    for (Call& call : calls) CPPUNIT_ASSERT_EQUAL(0, call.get().status);
  }

  // Guards against requests that outlive the parts of their instance, and reach
  // them when they are destroyed.
  void EndsItsRequestsBeforeRunReturns() {
    constexpr std::size_t kRequests = 10;
    HangingTargets targets;
    TwoInstances& pair = targets.pair;
    targets.hang = true;
    const std::size_t before = pair.RequestCount();
    std::vector<Call> calls = CallSecond(pair, kRequests);
    pair.harness.WaitFor(
        [&] { return pair.RequestCount() >= before + kRequests; });
    pair.EndSecondLoop();
    for (Call& call : calls) CPPUNIT_ASSERT_EQUAL(0, call.get().status);
    pair.harness.WaitFor([&pair] {
      return pair.target_one.ConnectionsClosedByPeer() +
                 pair.target_two.ConnectionsClosedByPeer() >=
             static_cast<int>(kRequests);
    });
    pair.second.reset();
  }

  // Guards against tunnels that go on after the paths are back.
  void UsesItsOwnPathsAgain() {
    TwoInstances pair;
    pair.Isolate();
    CPPUNIT_ASSERT_EQUAL(200, pair.Call("").status);
    TwoInstances::Set(pair.first_paths, PathState::kOpen);
    const auto forwarded = [&pair] {
      return pair.first_paths[0]->Connections() +
             pair.first_paths[1]->Connections();
    };
    const int before = forwarded();
    pair.harness.WaitFor([&] {
      CPPUNIT_ASSERT_EQUAL(200, pair.Call("").status);
      return forwarded() >= before + 2;
    });
  }

  // Guards against a leader that cannot reach a single engine.
  void GivesLeadershipToAnInstanceWithAPath() {
    TwoInstances pair;
    const auto leads = [&pair](bool first) {
      return first ? pair.harness.HoldsLeaderLease() : pair.SecondLeads();
    };
    pair.harness.WaitFor([&] { return leads(true) || leads(false); });
    const bool first_led = leads(true);
    TwoInstances::Set(first_led ? pair.first_paths : pair.second_paths,
                      PathState::kResets);
    pair.harness.WaitFor([&] {
      if (first_led) {
        pair.Call("");
      } else {
        pair.CallSecond();
      }
      return leads(!first_led);
    });
  }

  // Guards against a fleet without a leader: the one without a path gives its
  // duty up, and its entry stays in the store.
  void SomeInstanceLeadsIfTheStoreFailsMeanwhile() {
    using WriteFault = PlatformStoreStandIn::WriteFault;
    struct Case {
      const char* name;
      WriteFault fault;
      bool path_is_back_first;
    };
    const std::vector<Case> cases = {
        {"refused", WriteFault::kRefused, false},
        {"refused, the path is back first", WriteFault::kRefused, true},
        {"done, the answer lost", WriteFault::kAnswerLost, false},
        {"done late", WriteFault::kDoneLate, false},
        {"done late, the path is back first", WriteFault::kDoneLate, true},
    };
    for (const Case& item : cases) {
      TwoInstances pair;
      PlatformStoreStandIn& store = pair.harness.store;
      const auto leads = [&pair](bool first) {
        return first ? pair.harness.HoldsLeaderLease() : pair.SecondLeads();
      };
      pair.harness.WaitFor([&] { return leads(true) || leads(false); });
      const bool first_led = leads(true);
      store.SetWriteFault(item.fault);
      TwoInstances::Set(first_led ? pair.first_paths : pair.second_paths,
                        PathState::kResets);
      pair.harness.WaitFor([&] {
        if (first_led) {
          pair.Call("");
        } else {
          pair.CallSecond();
        }
        return !leads(first_led);
      });
      const auto open_paths = [&] {
        TwoInstances::Set(first_led ? pair.first_paths : pair.second_paths,
                          PathState::kOpen);
      };
      if (item.path_is_back_first) open_paths();
      absl::SleepFor(kFaultTime);
      store.SetWriteFault(WriteFault::kNone);
      const absl::Time end = absl::Now() + kLeaderTime;
      while (!leads(true) && !leads(false) && absl::Now() < end) {
        absl::SleepFor(absl::Milliseconds(20));
      }
      CPPUNIT_ASSERT_MESSAGE(item.name, leads(true) || leads(false));
      const bool first_leads = leads(true);
      store.RunLateWrites();
      absl::SleepFor(kFaultTime);
      CPPUNIT_ASSERT_MESSAGE(item.name, leads(first_leads));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ReachabilityTest,
                                      "platform-reachability");

}  // namespace
}  // namespace dragonflyglade
