#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using Script = PlatformTargetStandIn::Script;

constexpr int kShortLimitMs = 500;
constexpr absl::Duration kShortLimit = absl::Milliseconds(kShortLimitMs);
constexpr int kHeadLimitMs = 1500;
constexpr int kLongLimitMs = 20000;
// Longer than a short limit with all that is allowed beyond it.
constexpr absl::Duration kPastShortLimit = absl::Milliseconds(2500);

// A caller that keeps its connection.
class KeepAliveClient {
 public:
  explicit KeepAliveClient(GatewayHarness& stage)
      : stage(stage),
        socket(stage.Connect(stage.gateway->Settings().callers)) {}

  void Write(const std::string& text) {
    error_code error;
    boost::asio::write(*this->socket, boost::asio::buffer(text), error);
  }

  /// The next answer; empty if the connection ended without one.
  RawRequest Read() {
    RawRequest answer;
    if (!ReadRawRequest(*this->socket, this->buffer, answer)) return {};
    return answer;
  }

  /// Its status; 0 if the connection ended without one.
  int ReadStatus() {
    const RawRequest answer = this->Read();
    return answer.head.empty() ? 0 : std::stoi(answer.head.substr(9));
  }

  int Call() {
    this->Write(this->stage.KeepAliveRequestText("GET", "/any/"));
    return this->ReadStatus();
  }

 private:
  GatewayHarness& stage;
  std::unique_ptr<tcp::socket> socket;
  std::string buffer;
};

// Long enough for the first bytes of a head to be read, on a busy machine.
constexpr absl::Duration kReadSoon = absl::Milliseconds(200);
// A request's way to the gateway, on a busy machine.
constexpr absl::Duration kOnItsWay = absl::Milliseconds(200);

struct HeldLoopCase {
  const char* what;
  json limits;
  std::size_t bytes_before;  ///< of the request, sent before the loop is held
  std::size_t padding;       ///< bytes that make its head longer
};

struct ChangedLimitCase {
  const char* what;
  int before_ms;
  int after_ms;
};

class PlatformConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformConnectionsTest);
  CPPUNIT_TEST(ARequestThatComesInTimeIsAnsweredAlthoughTheLoopIsLate);
  CPPUNIT_TEST(AnAnswerThatCameInTimeIsDeliveredAlthoughTheLoopIsLate);
  CPPUNIT_TEST(ARequestWithinTheStatedIdleTimeDoesNotCrossTheClose);
  CPPUNIT_TEST(AConnectionMayStayIdleByTheLongestLimitOfItsWait);
  CPPUNIT_TEST(AnIdleConnectionIsClosedInTheEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The caller's connection was closed under a request that had been read.
  void ARequestThatComesInTimeIsAnsweredAlthoughTheLoopIsLate() {
    const std::vector<HeldLoopCase> cases = {
        {"idle", {{"idle_timeout_ms", kShortLimitMs}}, 0, 0},
        {"within a head", {{"header_timeout_ms", kHeadLimitMs}}, 10, 0},
        {"within a long head", {{"header_timeout_ms", kHeadLimitMs}}, 10, 5000},
    };
    for (const HeldLoopCase& item : cases) {
      GatewayHarness::Options options;
      options.limits = item.limits;
      GatewayHarness stage(std::move(options));
      KeepAliveClient caller(stage);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.Call());
      const std::string text = stage.KeepAliveRequestText(
          "GET", "/any/",
          "X-Padding: " + std::string(item.padding, 'x') + "\r\n");
      caller.Write(text.substr(0, item.bytes_before));
      absl::SleepFor(kReadSoon);
      {
        LoopBlocker hold(stage);
        caller.Write(text.substr(item.bytes_before));
        absl::SleepFor(kPastShortLimit);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.ReadStatus());
    }
  }

  // A whole answer that waited in the socket was given up as "not in time".
  void AnAnswerThatCameInTimeIsDeliveredAlthoughTheLoopIsLate() {
    constexpr std::size_t kManyReads = 50000;
    GatewayHarness stage;
    std::unique_ptr<LoopBlocker> hold;
    absl::Notification held;
    stage.first.EnqueueAnswer([&](const RawRequest& request) {
      hold = std::make_unique<LoopBlocker>(stage);
      held.Notify();
      return Script{ResponseBytes(request, "200 OK",
                                  std::string(kManyReads, 'x'), kSigned)};
    });
    KeepAliveClient caller(stage);
    caller.Write(stage.KeepAliveRequestText(
        "GET", "/any/", "X-Dragonflyglade-Deadline-Ms: 500\r\n"));
    held.WaitForNotification();
    absl::SleepFor(2 * kShortLimit);
    hold.reset();
    CPPUNIT_ASSERT_EQUAL(200, caller.ReadStatus());
  }

  // Callers were not told the time, and those that used all of it lost
  // requests.
  void ARequestWithinTheStatedIdleTimeDoesNotCrossTheClose() {
    GatewayHarness::Options options;
    options.limits = {{"idle_timeout_ms", 2 * kShortLimitMs}};
    GatewayHarness stage(std::move(options));
    KeepAliveClient caller(stage);
    caller.Write(stage.KeepAliveRequestText("GET", "/any/"));
    const RawRequest answer = caller.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("timeout=1"), answer.Field("Keep-Alive"));
    absl::SleepFor(2 * kShortLimit + kOnItsWay);
    CPPUNIT_ASSERT_EQUAL(200, caller.Call());
  }

  // A newer configuration allowed more, and callers reused connections by it
  // that were closed by the older one.
  void AConnectionMayStayIdleByTheLongestLimitOfItsWait() {
    const std::vector<ChangedLimitCase> cases = {
        {"raised", kShortLimitMs, kLongLimitMs},
        {"lowered", kLongLimitMs, kShortLimitMs},
    };
    for (const ChangedLimitCase& item : cases) {
      GatewayHarness::Options options;
      options.limits = {{"idle_timeout_ms", item.before_ms}};
      GatewayHarness stage(std::move(options));
      KeepAliveClient caller(stage);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.Call());
      json newer = stage.Config(2, "plain");
      newer["limits"] = {{"idle_timeout_ms", item.after_ms}};
      stage.PutConfig(newer);
      absl::SleepFor(kPastShortLimit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.Call());
    }
  }

  void AnIdleConnectionIsClosedInTheEnd() {
    GatewayHarness::Options options;
    options.limits = {{"idle_timeout_ms", kShortLimitMs}};
    GatewayHarness stage(std::move(options));
    KeepAliveClient caller(stage);
    CPPUNIT_ASSERT_EQUAL(200, caller.Call());
    CPPUNIT_ASSERT_EQUAL(0, caller.ReadStatus());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformConnectionsTest,
                                      "platform-connections");

}  // namespace
}  // namespace dragonflyglade
