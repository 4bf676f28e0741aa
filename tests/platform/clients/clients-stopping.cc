// Clients that go on sending requests to a process that stops, until it is
// gone.

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "tests/platform/clients/gateway_process.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

constexpr double kStopWithinSeconds = 5;
const std::string kId = "X-Dragonflyglade-Attempt-Id";

// Answers after the time that the path names, in milliseconds.
Script AnswerAfterPathTime(const RawRequest& request) {
  const std::string line = request.Line();
  const std::size_t at = line.find("/after-");
  if (at != std::string::npos) {
    const int time_ms =
        std::stoi(line.substr(at + std::string("/after-").size()));
    absl::SleepFor(absl::Milliseconds(time_ms));
  }
  return SuccessfulResponse(request);
}

json EngineFields() {
  return {{"engine",
           {{"models", {{{"name", "m"}, {"weights_mb", 10}}}},
            {"weights_mb", 10},
            {"adapter_slots", 2},
            {"loads_per_s", 2}}}};
}

class StoppingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoppingTest);
  CPPUNIT_TEST(AnswersAllThatATargetGot);
  CPPUNIT_TEST(RefusesWhatWaitedForTooLong);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are passed on late in a planned stop and cut
  // without an answer when the process ends.
  void AnswersAllThatATargetGot() {
    constexpr absl::Duration kPause = absl::Milliseconds(50);
    constexpr int kBefore = 10;
    constexpr int kRequests = 130;  // until after the process is gone
    GatewayProcess::Options options;
    options.limits = {{"stop_within_s", kStopWithinSeconds}};
    options.answer = AnswerAfterPathTime;
    GatewayProcess gateway(std::move(options));
    absl::Mutex mutex;
    std::set<std::string> answered;
    std::vector<std::thread> callers;
    const std::vector<std::string> paths = {
        "/any/after-20",    "/once/after-20",    "/stream/after-20",
        "/any/after-1200",  "/once/after-1200",  "/stream/after-1200",
        "/once/after-1800", "/stream/after-1800"};
    for (int i = 0; i < kRequests; ++i) {
      if (i == kBefore) gateway.Signal(SIGTERM);
      const std::string& path =
          paths[static_cast<std::size_t>(i) % paths.size()];
      // Every second caller has a deadline after the process's end.
      const char* deadline = i % 2 == 0 ? "10000" : "1500";
      const std::string head = gateway.Head(
          "POST", path, "k1",
          absl::StrCat("X-Dragonflyglade-Deadline-Ms: ", deadline, "\r\n"));
      callers.emplace_back([&, head] {
        RawCaller caller(gateway.At(Listener::kCallers));
        caller.Send(head);
        if (StatusOf(caller.ReadResponse()) == 0) return;
        absl::MutexLock lock(&mutex);
        answered.insert(RawRequest{head, ""}.Field(kId));
      });
      absl::SleepFor(kPause);
    }
    for (std::thread& caller : callers) caller.join();
    CPPUNIT_ASSERT(!gateway.IsRunning());
    std::string cut;
    for (const RawRequest& request : gateway.Target().Requests()) {
      if (!absl::StrContains(request.Line(), "/after-")) continue;
      if (answered.count(request.Field(kId)) > 0) continue;
      absl::StrAppend(&cut, request.Line(), "\n");
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), cut);
    CPPUNIT_ASSERT(static_cast<int>(answered.size()) > kBefore);
  }

  // Guards against a request that may run once, came early enough, waited for
  // its model, and is then passed on although the process ends before it.
  void RefusesWhatWaitedForTooLong() {
    GatewayProcess::Options options;
    options.limits = {{"stop_within_s", kStopWithinSeconds}};
    options.service = EngineFields();
    options.answer = AnswerAfterPathTime;
    GatewayProcess gateway(std::move(options));
    gateway.Signal(SIGTERM);
    absl::SleepFor(absl::Milliseconds(2300));
    RawCaller caller(gateway.At(Listener::kCallers));
    caller.Send(gateway.Head("POST", "/once/after-3000", "k1",
                             "X-Dragonflyglade-Model: m\r\n"
                             "X-Dragonflyglade-Token-Usage: 10,10\r\n"
                             "X-Dragonflyglade-Deadline-Ms: 10000\r\n"));
    absl::SleepFor(absl::Milliseconds(500));
    gateway.PutTarget({{{"name", "m"}, {"adapters", json::array()}}});
    const std::string response = caller.ReadResponse();
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(response));
    CPPUNIT_ASSERT(absl::StrContains(response, "draining"));
    for (const RawRequest& request : gateway.Target().Requests()) {
      CPPUNIT_ASSERT(!absl::StrContains(request.Line(), "after-3000"));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(StoppingTest, "clients-stopping");

}  // namespace
}  // namespace dragonflyglade
