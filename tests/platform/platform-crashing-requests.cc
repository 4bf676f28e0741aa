#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/request_digest.h"
#include "tests/platform/crashing_fleet.h"

namespace dragonflyglade {
namespace {

using gateway::CallerRequest;
using Reply = GatewayHarness::Reply;
using Script = PlatformTargetStandIn::Script;

// The users' bound: so many targets end under one request, whoever repeats it.
constexpr int kMaxCrashes = 3;
constexpr int kRepeats = 8;
// A request under which two targets ended may be tried again after it.
constexpr absl::Duration kTimeToTrial = absl::Seconds(2);
const std::string kModelFields =
    "X-Dragonflyglade-Model: m\r\nX-Dragonflyglade-Token-Usage: 100,10\r\n";
const std::string kStreamHead =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
// Longer than a target may be beginning its answer.
constexpr absl::Duration kMiddleOfStream = absl::Milliseconds(400);

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

// Event 1 of a stream that nothing follows.
std::string BeginningOfStream(const RawRequest& request) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nX-Dragonflyglade-Attempt-Id: ",
                      request.Field("X-Dragonflyglade-Attempt-Id"), "\r\n",
                      kSigned, kStreamHead, "\r\n",
                      Chunk("id: 1\ndata: x\n\n"));
}

bool IsBad(const RawRequest& request) {
  return absl::StrContains(request.Line(), "bad");
}

// Ends without an answer.
Script EndAtOnce(const RawRequest& request) {
  if (!IsBad(request)) return SuccessfulResponse(request);
  Script script;
  script.crash = true;
  return script;
}

Script EndInMiddleOfStream(const RawRequest& request) {
  if (!IsBad(request)) return SuccessfulResponse(request);
  Script script{BeginningOfStream(request)};
  script.ended = [] { absl::SleepFor(kMiddleOfStream); };
  script.crash = true;
  return script;
}

// Sends a request that may be repeated.
Reply Send(CrashingFleet& fleet, int instance, const std::string& path) {
  return fleet.Send(instance, fleet.harness.Text("GET", "/any/" + path));
}

// The store's keys of requests that are refused, and of their trials.
std::vector<std::string> Records(const CrashingFleet& fleet) {
  std::vector<std::string> keys =
      fleet.harness.store.Keys("dragonflyglade/crashing-requests/");
  const auto trials =
      fleet.harness.store.Keys("dragonflyglade/request-trials/");
  keys.insert(keys.end(), trials.begin(), trials.end());
  return keys;
}

class CrashingRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingRequestsTest);
  CPPUNIT_TEST(EndsThreeTargetsAtMost);
  CPPUNIT_TEST(EndsThreeTargetsOverTime);
  CPPUNIT_TEST(ServesASoundRequestThatLostTwoTargets);
  CPPUNIT_TEST(ServesASoundRequestThatLostManyTargetsAtOnce);
  CPPUNIT_TEST(ServesASoundRequestThatLostManyTargetsInTurn);
  CPPUNIT_TEST(KnowsTheRequestAfterARestart);
  CPPUNIT_TEST(KnowsTheRequestWhileTheStoreIsAway);
  CPPUNIT_TEST(RefusesARequestThatAnOperatorNamed);
  CPPUNIT_TEST(KnowsATargetThatIsBackAtOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request under which target after target ends, since
  // nothing remembers it when its caller sends it again.
  void EndsThreeTargetsAtMost() {
    struct Case {
      std::string name;
      std::string method;
      std::string route;
      std::string fields;
      std::function<Script(const RawRequest&)> answer;
      absl::Duration pause;  ///< before the next attempt
    };
    const absl::Duration none = absl::ZeroDuration();
    const absl::Duration some = absl::Milliseconds(400);
    const std::string last =
        kModelFields + "X-Dragonflyglade-Prompt-Prefix: own:100\r\n";
    const std::string shared =
        kModelFields + "X-Dragonflyglade-Prompt-Prefix: p:50,own:100\r\n";
    const std::vector<Case> cases = {
        {"idempotent", "GET", "/any/", "", EndAtOnce, none},
        {"idempotent, later", "GET", "/any/", "", EndAtOnce, some},
        {"only a last part", "POST", "/any/", last, EndAtOnce, none},
        {"a shared part", "POST", "/any/", shared, EndAtOnce, none},
        {"may run once", "POST", "/once/", "", EndAtOnce, none},
        {"resumed stream", "POST", "/resumed/", shared, EndAtOnce, none},
        {"middle of a stream", "POST", "/resumed/", shared, EndInMiddleOfStream,
         none},
        {"middle of a stream that may run once", "POST", "/cut/", last,
         EndInMiddleOfStream, some},
    };
    for (const Case& item : cases) {
      CrashingFleet fleet(item.answer);
      const auto call = [&](int attempt, const std::string& path) {
        return fleet.Send(attempt % 2,
                          fleet.harness.Text(item.method, item.route + path,
                                             "k1", item.fields));
      };
      for (int attempt = 0; attempt < kRepeats; ++attempt) {
        const int before = fleet.Crashes();
        const Reply reply = call(attempt, "bad");
        if (fleet.Crashes() == before) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 503, reply.status);
          CPPUNIT_ASSERT(absl::StrContains(reply.text, "\"ran\":\"no\""));
        }
        fleet.ReplaceCrashed();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200,
                                     call(attempt, "sound").status);
        absl::SleepFor(item.pause);
      }
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(item.name, ": ", fleet.Crashes()),
                             fleet.Crashes() <= kMaxCrashes);
    }
  }

  // Guards against a request that ends one more target each time that its
  // caller returns after a while, at two instances at the same moment.
  void EndsThreeTargetsOverTime() {
    CrashingFleet fleet(EndAtOnce);
    for (int attempt = 0; attempt < kRepeats; ++attempt) {
      std::vector<std::thread> callers;
      for (int instance : {0, 1}) {
        const std::string text = fleet.harness.Text("GET", "/any/bad");
        callers.emplace_back(
            [&fleet, instance, text] { fleet.Send(instance, text); });
      }
      for (std::thread& caller : callers) caller.join();
      fleet.ReplaceCrashed();
      absl::SleepFor(kTimeToTrial / 2);
    }
    CPPUNIT_ASSERT(fleet.Crashes() <= kMaxCrashes);
    const Reply reply = Send(fleet, 0, "bad");
    CPPUNIT_ASSERT_EQUAL(503, reply.status);
    CPPUNIT_ASSERT(std::stod(reply.Field("Retry-After")) >= 30);
  }

  // Guards against a sound request that stays refused since two targets ended
  // under it for a reason of their own.
  void ServesASoundRequestThatLostTwoTargets() {
    std::atomic<int> ends = 2;
    CrashingFleet fleet([&ends](const RawRequest& request) {
      return IsBad(request) && ends-- > 0 ? EndAtOnce(request)
                                          : SuccessfulResponse(request);
    });
    CPPUNIT_ASSERT_EQUAL(502, Send(fleet, 0, "bad").status);
    fleet.ReplaceCrashed();
    CPPUNIT_ASSERT_EQUAL(2, fleet.Crashes());
    const Reply held = Send(fleet, 1, "bad");
    CPPUNIT_ASSERT_EQUAL(503, held.status);
    CPPUNIT_ASSERT(std::stod(held.Field("Retry-After")) <= 2.1);
    absl::SleepFor(absl::Seconds(std::stod(held.Field("Retry-After"))));
    CPPUNIT_ASSERT_EQUAL(200, Send(fleet, 1, "bad").status);
    for (int instance : {0, 1}) {
      fleet.harness.WaitFor(
          [&] { return Send(fleet, instance, "bad").status == 200; });
    }
    CPPUNIT_ASSERT(Records(fleet).empty());
  }

  // Guards against a sound request of many callers that is refused for good,
  // since all targets lost power while they had it in progress.
  void ServesASoundRequestThatLostManyTargetsAtOnce() {
    this->CheckServedAfterPowerLoss(absl::ZeroDuration());
  }

  // Guards against the same where the targets end one after the other.
  void ServesASoundRequestThatLostManyTargetsInTurn() {
    this->CheckServedAfterPowerLoss(absl::Milliseconds(30));
  }

  // @param pause between the ends of two targets
  void CheckServedAfterPowerLoss(absl::Duration pause) {
    constexpr int kCallers = 8;
    absl::Notification power_loss;
    std::atomic<int> turn = 0;
    CrashingFleet fleet([&](const RawRequest& request) {
      if (!IsBad(request) || power_loss.HasBeenNotified()) {
        return SuccessfulResponse(request);
      }
      power_loss.WaitForNotification();
      absl::SleepFor(turn++ * pause);
      return EndAtOnce(request);
    });
    const auto call = [&fleet](int instance) {
      const std::string text = fleet.harness.Text("POST", "/once/bad");
      return fleet.Send(instance, text).status;
    };
    const std::size_t before = fleet.Requests();
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&call, caller] { call(caller % 2); });
    }
    fleet.harness.WaitFor(
        [&] { return fleet.Requests() >= before + kCallers; });
    power_loss.Notify();
    for (std::thread& caller : callers) caller.join();
    const int lost = fleet.Crashes();
    CPPUNIT_ASSERT(lost >= kMaxCrashes);
    fleet.ReplaceCrashed();
    for (int instance : {0, 1}) {
      fleet.harness.WaitFor([&] { return call(instance) == 200; });
    }
    CPPUNIT_ASSERT_EQUAL(lost, fleet.Crashes());
    fleet.harness.WaitFor([&] { return Records(fleet).empty(); });
  }

  // Guards against new crashes at an instance that has forgotten the request.
  void KnowsTheRequestAfterARestart() {
    CrashingFleet fleet(EndAtOnce);
    Send(fleet, 0, "bad");
    fleet.ReplaceCrashed();
    fleet.harness.WaitFor([&] { return !Records(fleet).empty(); });
    fleet.ReplaceSecond("three");
    fleet.harness.WaitFor(
        [&] { return Send(fleet, 1, "sound").status == 200; });
    CPPUNIT_ASSERT_EQUAL(503, Send(fleet, 1, "bad").status);
    CPPUNIT_ASSERT_EQUAL(2, fleet.Crashes());
  }

  // Guards against new crashes as long as the store takes no writes: nobody can
  // claim the trial, and all instances were told.
  void KnowsTheRequestWhileTheStoreIsAway() {
    CrashingFleet fleet(EndAtOnce);
    fleet.harness.store.RejectWrites(true);
    Send(fleet, 0, "bad");
    fleet.ReplaceCrashed();
    for (int attempt = 0; attempt < kRepeats; ++attempt) {
      CPPUNIT_ASSERT_EQUAL(503, Send(fleet, attempt % 2, "bad").status);
      absl::SleepFor(kTimeToTrial / 4);
    }
    CPPUNIT_ASSERT_EQUAL(2, fleet.Crashes());
    fleet.harness.store.RejectWrites(false);
    fleet.harness.WaitFor([&] { return !Records(fleet).empty(); });
  }

  // Guards against a request that an operator knows of and targets end under
  // all the same.
  void RefusesARequestThatAnOperatorNamed() {
    CrashingFleet fleet(EndAtOnce);
    CallerRequest named;
    named.method = "GET";
    named.host = "h.example";
    named.path_and_query = "/any/bad";
    const std::string key =
        "dragonflyglade/crashing-requests/" + gateway::DigestOf(named, "t1");
    fleet.harness.store.Put(key, R"({"by": "operator", "why": "seen"})");
    absl::SleepFor(kTimeToTrial + absl::Milliseconds(500));
    for (int instance : {0, 1}) {
      const Reply reply = Send(fleet, instance, "bad");
      CPPUNIT_ASSERT_EQUAL(503, reply.status);
      CPPUNIT_ASSERT(absl::StrContains(reply.text, "crashing_request"));
      CPPUNIT_ASSERT(std::stod(reply.Field("Retry-After")) >= 30);
    }
    CPPUNIT_ASSERT_EQUAL(0, fleet.Crashes());
    fleet.harness.store.Delete(key);
    fleet.harness.WaitFor([&] { return Send(fleet, 0, "bad").status != 503; });
  }

  // Guards against targets that end again and again under a request, and are
  // taken for alive since a new process listens at once.
  void KnowsATargetThatIsBackAtOnce() {
    std::atomic<int> ended = 0;
    CrashingFleet* fleet_of_answers = nullptr;
    CrashingFleet fleet([&](const RawRequest& request) {
      if (!IsBad(request)) return SuccessfulResponse(request);
      Script script;
      script.close = true;
      script.ended = [&,
                      id = request.Field("X-Dragonflyglade-Target-Instance")] {
        fleet_of_answers->Restart(id);
        ended += 1;
      };
      return script;
    });
    fleet_of_answers = &fleet;
    for (int attempt = 0; attempt < kRepeats; ++attempt) {
      fleet.Send(attempt % 2, fleet.harness.Text("POST", "/once/bad"));
      absl::SleepFor(kTimeToTrial + absl::Milliseconds(500));
    }
    CPPUNIT_ASSERT(ended <= kMaxCrashes);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CrashingRequestsTest,
                                      "platform-crashing-requests");

}  // namespace
}  // namespace dragonflyglade
