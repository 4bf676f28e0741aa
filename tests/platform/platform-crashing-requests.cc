#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/crashing_fleet.h"

namespace dragonflyglade {
namespace {

using Reply = GatewayHarness::Reply;
using Script = PlatformTargetStandIn::Script;

// The users' bound: so many targets end under one request, whoever repeats it.
constexpr int kMaxCrashes = 3;
constexpr int kRepeats = 8;
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

class CrashingRequestsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingRequestsTest);
  CPPUNIT_TEST(EndsThreeTargetsAtMost);
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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(CrashingRequestsTest,
                                      "platform-crashing-requests");

}  // namespace
}  // namespace dragonflyglade
