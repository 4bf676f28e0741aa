#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using boost::asio::ip::tcp;
using Script = PlatformTargetStandIn::Script;

constexpr std::size_t kMegabyte = 1u << 20;
// More than the sockets between the gateway and a caller hold.
constexpr std::size_t kResponseBytes = 2 * kMegabyte;
constexpr std::size_t kMaxTotalBytes = 8 * kMegabyte;
constexpr int kSocketBytes = 16384;
// A busy machine takes longer than the usual deadline of 5 s to move the
// responses; the requests would end as timed out before their callers are slow.
constexpr absl::Duration kDeadline = absl::Seconds(60);

// Many events of a kilobyte.
std::string ManyEvents() {
  std::string events;
  for (int id = 1; events.size() < kResponseBytes; ++id) {
    events +=
        absl::StrCat("id: ", id, "\ndata: ", std::string(1000, 'd'), "\n\n");
  }
  return events;
}

// Many events, or a body of the same length.
Script LongResponse(const RawRequest& request) {
  if (!absl::StrContains(request.Line(), "/cut/")) {
    if (!absl::StrContains(request.Line(), "/once/"))
      return SuccessfulResponse(request);
    return {ResponseBytes(request, "200 OK", std::string(kResponseBytes, 'b'),
                          kSigned)};
  }
  static const std::string kEvents = ManyEvents();
  const std::string more =
      absl::StrCat(kSigned, "Content-Type: text/event-stream\r\n");
  return {ResponseBytes(request, "200 OK", kEvents, more)};
}

GatewayHarness::Options SmallInstance() {
  GatewayHarness::Options options;
  options.answer = LongResponse;
  options.caller_buffers.total_bytes = kMaxTotalBytes;
  options.caller_buffers.socket_bytes = kSocketBytes;
  return options;
}

// One instance and callers who send a request and read nothing.
struct SlowReaders {
  // The target has places for all callers.
  SlowReaders() : harness(SmallInstance()) {
    nlohmann::json config = this->harness.Config(2, "later");
    config["services"][0]["max_connections"] = 2000;
    for (auto& route : config["routes"]) {
      route["timeout_ms"] = absl::ToInt64Milliseconds(kDeadline);
    }
    this->harness.PutConfig(config);
  }

  // A request with a deadline that outlasts the test.
  std::string Text(const std::string& method, const std::string& path) {
    return absl::StrReplaceAll(
        this->harness.Text(method, path),
        {{"Deadline-Ms: 5000",
          absl::StrCat("Deadline-Ms: ",
                       absl::ToInt64Milliseconds(kDeadline))}});
  }

  void Begin(int count, const std::string& method, const std::string& path) {
    for (int i = 0; i < count; ++i) {
      this->sockets.push_back(
          this->harness.Connect(this->harness.gateway->Settings().callers));
      // Small, so that little has to be moved until nothing more fits.
      this->sockets.back()->set_option(
          tcp::socket::receive_buffer_size(kSocketBytes));
      boost::asio::write(*this->sockets.back(),
                         boost::asio::buffer(this->Text(method, path)));
    }
  }

  // The value of the metrics' line that begins with the name; 0 if missing.
  double Metric(const std::string& name) {
    const std::string text =
        this->harness.Ask(this->harness.gateway->Settings().metrics, "/metrics")
            .text;
    const std::size_t at = text.find("\n" + name + " ");
    if (at == std::string::npos) return 0;
    const std::size_t begin = at + name.size() + 2;
    double value = 0;
    const std::string number =
        text.substr(begin, text.find('\n', begin) - begin);
    CPPUNIT_ASSERT(absl::SimpleAtod(number, &value));
    return value;
  }

  double Ended(const std::string& why) {
    return this->Metric(
        absl::StrCat("caller_connections_ended{why=\"", why, "\"}"));
  }

  GatewayHarness harness;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
};

class SlowReadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowReadersTest);
  CPPUNIT_TEST(BoundsWhatIsKeptForCallers);
  CPPUNIT_TEST(EndsStreamsThatNobodyReads);
  CPPUNIT_TEST(ChecksTheSettings);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an instance that runs out of memory, since callers ask for
  // responses and do not read them, and against other callers who suffer.
  void BoundsWhatIsKeptForCallers() {
    constexpr int kReaders = 100;
    constexpr int kHalf = kReaders / 2;
    SlowReaders play;
    play.Begin(kReaders, "POST", "/once/");
    double most = 0;
    play.harness.WaitFor([&] {
      CPPUNIT_ASSERT_EQUAL(200, play.harness.Call("GET", "/any/").status);
      CPPUNIT_ASSERT_EQUAL(
          200, play.harness.Send(play.Text("POST", "/once/")).status);
      most = std::max(most, play.Metric("caller_buffer_bytes"));
      return play.Ended("caller reads too slowly") >= kHalf;
    });
    CPPUNIT_ASSERT(most > 0);
    CPPUNIT_ASSERT(most <= static_cast<double>(kMaxTotalBytes));
  }

  // Guards against streams that are kept for callers who do not read, until the
  // targets cut them off as their own failures.
  void EndsStreamsThatNobodyReads() {
    constexpr int kReaders = 200;
    constexpr absl::Duration kMostTime = absl::Seconds(9);
    SlowReaders play;
    const absl::Time start = absl::Now();
    play.Begin(kReaders, "GET", "/cut/");
    play.harness.WaitFor([&] {
      CPPUNIT_ASSERT_EQUAL(200, play.harness.Call("GET", "/any/").status);
      const double bytes = play.Metric("caller_buffer_bytes");
      CPPUNIT_ASSERT(bytes <= static_cast<double>(kMaxTotalBytes));
      return play.Ended("caller takes nothing") >= kReaders;
    });
    CPPUNIT_ASSERT(absl::Now() - start < kMostTime);
    play.harness.WaitFor(
        [&] { return play.Metric("requests_in_flight") == 0; });
  }

  // Guards against a bound that is misread, or so small that nobody is served.
  void ChecksTheSettings() {
    struct Case {
      std::string value;
      bool is_valid;
      std::size_t total_bytes;
    };
    const std::vector<Case> cases = {
        {"1024", true, kMegabyte}, {"16", true, 16384}, {"15", false, 0},
        {"0", false, 0},           {"-1", false, 0},    {"\"1024\"", false, 0},
        {"1e12", false, 0},
    };
    for (const Case& item : cases) {
      for (const char* field : {"caller_buffers_kb", "request_bodies_kb"}) {
        const std::string text = absl::StrCat(
            R"({"instance": "i", "zone": "z",
                "store": {"address": "127.0.0.1:1"},
                "listen": {"callers": "127.0.0.1:2", "readiness": "127.0.0.1:3",
                           "directory": "127.0.0.1:4",
                           "metrics": "127.0.0.1:5", "peers": "127.0.0.1:6"},
                "limits": {")",
            field, "\": ", item.value, "}}");
        const auto settings = gateway::ParseGatewaySettings(text);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(item.value, item.is_valid, settings.Ok());
        if (!item.is_valid) continue;
        const gateway::GatewaySettings& read = settings.Value();
        CPPUNIT_ASSERT_EQUAL(item.total_bytes,
                             absl::StartsWith(field, "caller")
                                 ? read.caller_buffers.total_bytes
                                 : read.request_bodies_bytes);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(SlowReadersTest, "platform-slow-readers");

}  // namespace
}  // namespace dragonflyglade
