#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Script = PlatformTargetStandIn::Script;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kBoundBytes = 1024 * kKilobyte;
constexpr std::size_t kLargeBytes = 256 * kKilobyte;
constexpr std::size_t kSmallBytes = 1 * kKilobyte;

// The body is as long as the request's field Length says.
Script ResponseOfLength(const RawRequest& request) {
  const std::string length = request.Field("Length");
  const std::size_t size = length.empty() ? 4 : std::stoul(length);
  return {ResponseBytes(request, "200 OK", std::string(size, 'b'), kSigned)};
}

// One small instance.
struct SmallInstance {
  SmallInstance() : harness(Options()) {
    nlohmann::json config = this->harness.Config(2, "later");
    config["services"][0]["max_connections"] = 2000;
    this->harness.PutConfig(config);
  }

  static GatewayHarness::Options Options() {
    GatewayHarness::Options options;
    options.answer = ResponseOfLength;
    options.caller_buffers.total_bytes = kBoundBytes;
    options.request_bodies_bytes = kBoundBytes;
    return options;
  }

  std::string HeadWithLength(std::size_t bytes) {
    return this->harness.Text("POST", "/once/", "k1",
                              absl::StrCat("Content-Length: ", bytes, "\r\n"));
  }
  GatewayHarness::Reply Post(std::size_t bytes) {
    return this->harness.Send(
        absl::StrCat(this->HeadWithLength(bytes), std::string(bytes, 'q')));
  }
  GatewayHarness::Reply GetBytes(std::size_t bytes) {
    return this->harness.Call("GET", "/any/", "k1",
                              absl::StrCat("Length: ", bytes, "\r\n"));
  }

  // Connects and sends, and leaves the connection open.
  void Begin(const std::string& text) {
    this->sockets.push_back(
        this->harness.Connect(this->harness.gateway->Settings().callers));
    boost::asio::write(*this->sockets.back(), boost::asio::buffer(text));
  }

  // The value of a metric; 0 if it is missing.
  double Metric(const std::string& name) {
    const std::string text =
        this->harness.Ask(this->harness.gateway->Settings().metrics, "/metrics")
            .text;
    const std::size_t at = text.find("\n" + name + " ");
    if (at == std::string::npos) return 0;
    const std::size_t begin = at + name.size() + 2;
    double value = 0;
    CPPUNIT_ASSERT(absl::SimpleAtod(
        text.substr(begin, text.find('\n', begin) - begin), &value));
    return value;
  }
  void WaitForMetric(const std::string& name, double value) {
    this->harness.WaitFor([&] { return this->Metric(name) == value; });
  }

  GatewayHarness harness;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
};

void CheckRefusedForMemory(const GatewayHarness::Reply& reply) {
  CPPUNIT_ASSERT_EQUAL(503, reply.status);
  const auto error = nlohmann::json::parse(reply.Body()).at("error");
  CPPUNIT_ASSERT_EQUAL(std::string("memory_full"),
                       error.at("code").get<std::string>());
  CPPUNIT_ASSERT_EQUAL(std::string("no"), error.at("ran").get<std::string>());
  const double seconds = std::stod(reply.Field("Retry-After"));
  CPPUNIT_ASSERT(seconds >= 1 && seconds <= 1.5);
}

// Accepts connections until one brings a POST, of which it reads only the head.
// Either answers then, and goes on to read the body very slowly, or does
// nothing more. The connections stay open.
class TargetThatReadsNoBody {
 public:
  explicit TargetThatReadsNoBody(bool answers)
      : acceptor(this->context, tcp::v4()) {
    // Little, so that the rest of the body waits at the gateway.
    this->acceptor.set_option(tcp::socket::receive_buffer_size(4096));
    this->acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    this->acceptor.listen();
    this->thread = std::thread([this, answers] { this->Serve(answers); });
  }
  ~TargetThatReadsNoBody() { this->thread.join(); }
  TargetThatReadsNoBody(const TargetThatReadsNoBody&) = delete;
  TargetThatReadsNoBody& operator=(const TargetThatReadsNoBody&) = delete;

  std::string Address() const {
    return absl::StrCat("127.0.0.1:", this->acceptor.local_endpoint().port());
  }

 private:
  void Serve(bool answers) {
    RawRequest request;
    while (!absl::StartsWith(request.head, "POST")) {
      this->sockets.emplace_back(this->context);
      this->acceptor.accept(this->sockets.back());
      request = ReadHead(this->sockets.back());
    }
    if (!answers) return;
    tcp::socket& socket = this->sockets.back();
    boost::asio::write(socket, boost::asio::buffer(ResponseBytes(
                                   request, "200 OK", "ok", kSigned)));
    char bytes[512];
    error_code error;
    while (!error) {
      socket.read_some(boost::asio::buffer(bytes), error);
      absl::SleepFor(absl::Milliseconds(50));
    }
  }

  static RawRequest ReadHead(tcp::socket& socket) {
    RawRequest request;
    char byte = 0;
    error_code error;
    while (!error && !absl::EndsWith(request.head, "\r\n\r\n")) {
      socket.read_some(boost::asio::buffer(&byte, 1), error);
      request.head += byte;
    }
    return request;
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor;
  std::list<tcp::socket> sockets;
  std::thread thread;
};

class HeldBytesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeldBytesTest);
  CPPUNIT_TEST(BoundsRequestBodies);
  CPPUNIT_TEST(RefusesABodyWithoutLengthOnceItExceedsTheBound);
  CPPUNIT_TEST(ReleasesBodiesThatTargetsDoNotRead);
  CPPUNIT_TEST(CutsOffAResponseAboveTheBound);
  CPPUNIT_TEST(ServesCallersWhoReadLargeResponses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an instance that runs out of memory, since many callers send
  // large bodies slowly, and against small requests that are refused with them.
  void BoundsRequestBodies() {
    constexpr int kSenders = 200;
    // As many as fit beside the reserve of an eighth.
    constexpr double kAccepted = 3;
    SmallInstance play;
    for (int i = 0; i < kSenders; ++i) {
      play.Begin(absl::StrCat(play.HeadWithLength(kLargeBytes), "begin"));
    }
    play.WaitForMetric("refusals{code=\"memory_full\"}", kSenders - kAccepted);
    CPPUNIT_ASSERT_EQUAL(kAccepted * kLargeBytes,
                         play.Metric("request_body_bytes"));
    CheckRefusedForMemory(play.harness.Send(play.HeadWithLength(kLargeBytes)));
    CPPUNIT_ASSERT_EQUAL(200, play.Post(kSmallBytes).status);
    play.sockets.clear();
    play.WaitForMetric("request_body_bytes", 0);
    CPPUNIT_ASSERT_EQUAL(200, play.Post(kLargeBytes).status);
    const auto requests = play.harness.first.Requests();
    CPPUNIT_ASSERT_EQUAL(std::string(kLargeBytes, 'q'), requests.back().body);
    play.WaitForMetric("request_body_bytes", 0);
  }

  // Guards against a bound that only bodies with a stated length keep.
  void RefusesABodyWithoutLengthOnceItExceedsTheBound() {
    SmallInstance play;
    const std::string head = play.harness.Text(
        "POST", "/any/", "k1", "Transfer-Encoding: chunked\r\n");
    const std::string chunk =
        absl::StrCat("40000\r\n", std::string(kLargeBytes, 'q'), "\r\n");
    play.Begin(absl::StrCat(head, chunk, chunk, chunk));
    play.WaitForMetric("request_body_bytes", 3.0 * kLargeBytes);
    CheckRefusedForMemory(
        play.harness.Send(absl::StrCat(head, chunk, chunk, "0\r\n\r\n")));
    play.sockets.clear();
    play.WaitForMetric("request_body_bytes", 0);
    CPPUNIT_ASSERT_EQUAL(
        200, play.harness.Send(absl::StrCat(head, chunk, "0\r\n\r\n")).status);
  }

  // Guards against bodies that are held for targets which have answered, but
  // go on reading, or which read nothing.
  void ReleasesBodiesThatTargetsDoNotRead() {
    constexpr std::size_t kBodyBytes = 896 * kKilobyte;
    struct Case {
      bool answers;
      int status;
    };
    for (const Case& item : {Case{true, 200}, Case{false, 502}}) {
      SmallInstance play;
      const TargetThatReadsNoBody target(item.answers);
      play.harness.store.Put("servers/i-1",
                             nlohmann::json{{"service", "s"},
                                            {"address", target.Address()},
                                            {"zone", "z"},
                                            {"slots", 4},
                                            {"state", "ready"},
                                            {"born", 2},
                                            {"models", nlohmann::json::array()}}
                                 .dump());
      play.harness.WaitFor([&] {
        return play.harness.Read<std::string>([&] {
          return play.harness.gateway->Fleet().Target("i-1")->Record().address;
        }) == target.Address();
      });
      auto reply =
          std::async(std::launch::async, [&] { return play.Post(kBodyBytes); });
      if (!item.answers) play.WaitForMetric("request_body_bytes", kBodyBytes);
      CPPUNIT_ASSERT_EQUAL(item.status, reply.get().status);
      play.WaitForMetric("request_body_bytes", 0);
    }
  }

  // Guards against a response that fills the memory while it is received.
  void CutsOffAResponseAboveTheBound() {
    SmallInstance play;
    auto reply = std::async(std::launch::async,
                            [&] { return play.GetBytes(4 * kBoundBytes); });
    double most = 0;
    play.harness.WaitFor([&] {
      CPPUNIT_ASSERT_EQUAL(200, play.GetBytes(kSmallBytes).status);
      most = std::max(most, play.Metric("caller_buffer_bytes"));
      return play.Metric("responses_cut_off") == 1;
    });
    CPPUNIT_ASSERT(most <= kBoundBytes);
    CPPUNIT_ASSERT_EQUAL(502, reply.get().status);
    play.WaitForMetric("received_response_bytes", 0);
  }

  // Guards against responses that are cut off, although their callers read,
  // because many of them arrive together.
  void ServesCallersWhoReadLargeResponses() {
    constexpr int kCallers = 40;
    SmallInstance play;
    std::vector<std::future<GatewayHarness::Reply>> replies;
    replies.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      replies.push_back(std::async(std::launch::async,
                                   [&] { return play.GetBytes(kLargeBytes); }));
    }
    for (auto& reply : replies) {
      const GatewayHarness::Reply got = reply.get();
      CPPUNIT_ASSERT_EQUAL(200, got.status);
      CPPUNIT_ASSERT_EQUAL(kLargeBytes, got.Body().size());
    }
    CPPUNIT_ASSERT_EQUAL(0.0, play.Metric("responses_cut_off"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(HeldBytesTest, "platform-held-bytes");

}  // namespace
}  // namespace dragonflyglade
