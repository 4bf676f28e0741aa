#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/event_splitter.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using Reply = GatewayHarness::Reply;
using Script = PlatformTargetStandIn::Script;

// The route gives the request five seconds.
constexpr absl::Duration kSoon = absl::Seconds(1);
constexpr absl::Duration kTrickle = absl::Milliseconds(50);
constexpr std::size_t kRepeatBytes = 16384;
const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kStream = "Content-Type: text/event-stream\r\n" + kChunked;

// A response that begins well, up to the blank line and with the first bytes of
// the body.
std::string Beginning(const RawRequest& request, const std::string& status,
                      const std::string& more, const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status, "\r\nX-Dragonflyglade-Attempt-Id: ",
                      request.Field("X-Dragonflyglade-Attempt-Id"), "\r\n",
                      kSigned, more, "\r\n", body);
}

std::string Repeated(const std::string& text) {
  std::string all;
  while (all.size() < kRepeatBytes) all += text;
  return all;
}

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

struct EndlessCase {
  std::string name;
  std::string path;
  std::string status;
  std::string more;     ///< header fields
  std::string body;     ///< its first bytes
  std::string endless;  ///< what follows
  bool has_head = true;
};

std::vector<EndlessCase> EndlessCases() {
  const std::string ok = "200 OK";
  const std::string comments = Chunk(Repeated(": wait\n\n"));
  const std::string event = Chunk(Repeated("data: x\n"));
  return {
      {"no head", "/any/", "", "", "", Repeated("x"), false},
      {"fields", "/any/", ok, "X-A: 1\r\nX-B: ", "", Repeated("y\r\nX-C: "),
       false},
      {"body to the close", "/any/", ok, "", "", Repeated("x")},
      {"chunk extension", "/any/", ok, kChunked, "1;a=", Repeated("x")},
      {"trailers", "/any/", ok, kChunked, "1\r\nx\r\n0\r\n",
       Repeated("X-A: b\r\n")},
      {"refusal", "/any/", "503 Service Unavailable",
       "X-Dragonflyglade-Not-Executed: 1\r\n", "", Repeated("x")},
      {"stream with a chunk extension", "/resumed/", ok, kStream,
       "1;a=", Repeated("x")},
      {"stream of comments", "/resumed/", ok, kStream, "", comments},
      {"event", "/resumed/", ok, kStream, "", event},
      {"interim responses", "/any/", "102 Processing", "", "",
       Repeated("HTTP/1.1 102 Processing\r\n\r\n")},
      {"answers to others", "/any/", ok, "", "",
       Repeated("HTTP/1.1 200 OK\r\nX-Dragonflyglade-Attempt-Id: other\r\n"
                "Content-Length: 1\r\n\r\nx"),
       false},
  };
}

Script EndlessAnswer(const EndlessCase& item, const RawRequest& request,
                     absl::Duration pause) {
  Script script;
  if (item.has_head) {
    script.bytes = Beginning(request, item.status, item.more, item.body);
  } else if (!item.status.empty()) {
    script.bytes = absl::StrCat("HTTP/1.1 ", item.status, "\r\n", item.more);
  }
  script.endless = item.endless;
  script.endless_pause = pause;
  return script;
}

class EndlessAnswersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessAnswersTest);
  CPPUNIT_TEST(AsksAnotherTarget);
  CPPUNIT_TEST(ServesOthersMeanwhile);
  CPPUNIT_TEST(EndsATrickleAtTheDeadline);
  CPPUNIT_TEST(SearchesALongEventOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a caller that waits for its whole deadline, and memory that
  // fills, since a target sends bytes that become no answer.
  void AsksAnotherTarget() {
    for (const EndlessCase& item : EndlessCases()) {
      GatewayHarness harness;
      harness.AddSecond();
      harness.ScriptNextRequest(
          [&](const RawRequest& request) {
            return EndlessAnswer(item, request, absl::ZeroDuration());
          },
          SuccessfulResponse);
      const absl::Time start = absl::Now();
      const Reply reply = harness.Call("GET", item.path);
      CPPUNIT_ASSERT_MESSAGE(item.name, absl::Now() - start < kSoon);
      const bool begun = reply.text.find(": wait") != std::string::npos;
      // A stream that has begun cannot become another answer.
      if (!begun) CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, !begun, reply.ended_whole);
      harness.WaitFor([&] {
        return harness.first.ConnectionsClosedByPeer() +
                   harness.second.ConnectionsClosedByPeer() ==
               1;
      });
    }
  }

  // Guards against an event loop that all callers wait for while it reads such
  // an answer.
  void ServesOthersMeanwhile() {
    for (const EndlessCase& item : EndlessCases()) {
      GatewayHarness harness([&](const RawRequest& request) {
        if (request.Line().find("endless") == std::string::npos) {
          return SuccessfulResponse(request);
        }
        return EndlessAnswer(item, request, absl::ZeroDuration());
      });
      std::atomic<bool> is_done = false;
      std::thread caller([&] {
        harness.Call("GET", item.path + "endless");
        is_done = true;
      });
      absl::Duration longest;
      do {
        const absl::Time start = absl::Now();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200,
                                     harness.Call("GET", "/once/").status);
        longest = std::max(longest, absl::Now() - start);
      } while (!is_done);
      caller.join();
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(item.name, ": ", absl::ToDoubleSeconds(longest), " s"),
          longest < kSoon / 2);
    }
  }

  // Guards against a trickle that is below every limit of bytes and holds a
  // request past its deadline.
  void EndsATrickleAtTheDeadline() {
    for (EndlessCase item : EndlessCases()) {
      item.endless = item.endless.substr(0, item.endless.size() / 1024);
      if (item.endless.empty()) continue;
      GatewayHarness harness;
      harness.first.EnqueueAnswer([&](const RawRequest& request) {
        return EndlessAnswer(item, request, kTrickle);
      });
      const std::string text = harness.Text("GET", item.path);
      const std::string deadline = "Deadline-Ms: ";
      std::string hurried = text;
      hurried.replace(text.find(deadline) + deadline.size(), 4, "700");
      const absl::Time start = absl::Now();
      harness.Send(hurried);
      CPPUNIT_ASSERT_MESSAGE(item.name, absl::Now() - start < kSoon);
      harness.WaitFor(
          [&] { return harness.first.ConnectionsClosedByPeer() == 1; });
    }
  }

  // Guards against an event loop that is busy for seconds since each read
  // searches the whole incomplete event again.
  void SearchesALongEventOnce() {
    constexpr std::size_t kPacketBytes = 1460;
    constexpr std::size_t kEventBytes = 16u << 20;
    const std::string packet(kPacketBytes, 'x');
    gateway::EventSplitter splitter;
    const absl::Time start = absl::Now();
    while (splitter.PartialBytes() < kEventBytes) {
      CPPUNIT_ASSERT(splitter.Add(packet).empty());
    }
    CPPUNIT_ASSERT(absl::Now() - start < kSoon);
    // An end that comes in two pieces is found.
    CPPUNIT_ASSERT(splitter.Add("\r\n\r").empty());
    const std::size_t event = splitter.PartialBytes() + 1;
    CPPUNIT_ASSERT_EQUAL(event, splitter.Add("\n").size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(EndlessAnswersTest,
                                      "platform-endless-answers");

}  // namespace
}  // namespace dragonflyglade
