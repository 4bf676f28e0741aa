#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using Script = PlatformTargetStandIn::Script;

// Of a refusal that needs nothing more from the target; the request's deadline
// is five seconds.
constexpr absl::Duration kAtOnce = absl::Seconds(1);

/// What follows an answer's status and id.
struct Rest {
  const char* name;
  std::string bytes;
  bool close = false;
};

class OddStatusesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddStatusesTest);
  CPPUNIT_TEST(AreNoAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an answer whose status is none: passed on as it is, waited
  // on for the whole deadline, or with its body taken for the next answer.
  void AreNoAnswers() {
    const std::string inner = absl::StrCat("HTTP/1.1 200 OK\r\n", kSigned,
                                           "Content-Length: 5\r\n\r\ninner");
    const std::vector<Rest> rests = {
        {"a length", "Content-Length: 4\r\n\r\ndone"},
        {"no body", "Content-Length: 0\r\n\r\n"},
        {"an end with its connection", "Connection: close\r\n\r\ndone", true},
        {"a body like a head and a body",
         absl::StrCat("Content-Length: ", inner.size(), "\r\n\r\n", inner)},
        {"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"},
    };
    const std::vector<const char*> statuses = {"000 None", "001 None",
                                               "099 None", "101 Switching",
                                               "600 None", "999 None"};
    for (const char* status : statuses) {
      for (const Rest& rest : rests) this->Check(status, rest);
    }
  }

 private:
  static void Check(const char* status, const Rest& rest) {
    GatewayHarness harness([&](const RawRequest& request) {
      if (request.IsInspection()) return SuccessfulResponse(request);
      Script script;
      script.bytes =
          absl::StrCat("HTTP/1.1 ", status, "\r\nX-Dragonflyglade-Attempt-Id: ",
                       request.Field("X-Dragonflyglade-Attempt-Id"), "\r\n",
                       kSigned, rest.bytes);
      script.close = rest.close;
      return script;
    });
    for (const char* path : {"/once/", "/any/", "/cut/"}) {
      const absl::Time begin = absl::Now();
      const GatewayHarness::Reply reply = harness.Call("POST", path);
      const std::string name =
          absl::StrCat(status, ", ", rest.name, ", ", path, ": ", reply.text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 502, reply.status);
      CPPUNIT_ASSERT_MESSAGE(name, absl::Now() - begin < kAtOnce);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OddStatusesTest, "platform-odd-statuses");

}  // namespace
}  // namespace dragonflyglade
