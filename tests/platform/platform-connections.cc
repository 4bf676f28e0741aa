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
// Longer than a short limit plus the gateway's grace time.
constexpr absl::Duration kPastShortLimit = absl::Milliseconds(2500);

// A caller that reuses its connection.
class KeepAliveClient {
 public:
  explicit KeepAliveClient(GatewayHarness& harness)
      : harness(harness),
        socket(harness.Connect(harness.gateway->Settings().callers)) {}

  void Write(const std::string& text) {
    error_code error;
    boost::asio::write(*this->socket, boost::asio::buffer(text), error);
  }

  /// Reads the next response; empty if the connection ended without one.
  RawRequest Read() {
    RawRequest response;
    if (!ReadRawRequest(*this->socket, this->buffer, response)) return {};
    return response;
  }

  /// Reads the next response and returns its status; 0 if the connection ended
  /// without one.
  int ReadStatus() {
    const RawRequest response = this->Read();
    return response.head.empty() ? 0 : std::stoi(response.head.substr(9));
  }

  int Call() {
    this->Write(this->harness.KeepAliveRequestText("GET", "/any/"));
    return this->ReadStatus();
  }

 private:
  GatewayHarness& harness;
  std::unique_ptr<tcp::socket> socket;
  std::string buffer;
};

// Time in which the gateway reads the first bytes of a head, also on a busy
// machine.
constexpr absl::Duration kReadTime = absl::Milliseconds(200);
// Time in which a request reaches the gateway, also on a busy machine.
constexpr absl::Duration kTravelTime = absl::Milliseconds(200);

struct BlockedLoopCase {
  const char* what;
  json limits;
  std::size_t bytes_before;  ///< bytes sent before the loop is blocked
  std::size_t padding;       ///< bytes added to the request's head
};

struct ChangedLimitCase {
  const char* what;
  int before_ms;
  int after_ms;
};

class PlatformConnectionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformConnectionsTest);
  CPPUNIT_TEST(ServesARequestThatArrivesInTimeWhileTheLoopIsBlocked);
  CPPUNIT_TEST(ForwardsAResponseThatArrivesInTimeWhileTheLoopIsBlocked);
  CPPUNIT_TEST(KeepsTheConnectionForTheAnnouncedIdleTimeout);
  CPPUNIT_TEST(AppliesTheLongestIdleTimeoutOfTheWait);
  CPPUNIT_TEST(ClosesAnIdleConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a timeout that closes the connection although the request
  // arrived in time. It comes about if the event loop is blocked until after
  // the timeout, while the request waits in the socket.
  void ServesARequestThatArrivesInTimeWhileTheLoopIsBlocked() {
    const std::vector<BlockedLoopCase> cases = {
        {"idle", {{"idle_timeout_ms", kShortLimitMs}}, 0, 0},
        {"within a head", {{"header_timeout_ms", kHeadLimitMs}}, 10, 0},
        {"within a long head", {{"header_timeout_ms", kHeadLimitMs}}, 10, 5000},
    };
    for (const BlockedLoopCase& item : cases) {
      GatewayHarness::Options options;
      options.limits = item.limits;
      GatewayHarness harness(std::move(options));
      KeepAliveClient caller(harness);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.Call());
      const std::string text = harness.KeepAliveRequestText(
          "GET", "/any/",
          "X-Padding: " + std::string(item.padding, 'x') + "\r\n");
      caller.Write(text.substr(0, item.bytes_before));
      absl::SleepFor(kReadTime);
      {
        LoopBlocker blocker(harness);
        caller.Write(text.substr(item.bytes_before));
        absl::SleepFor(kPastShortLimit);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.ReadStatus());
    }
  }

  // Guards against a timeout that discards a response which arrived in time. It
  // comes about if the event loop is blocked until after the deadline, while
  // the complete response waits in the socket.
  void ForwardsAResponseThatArrivesInTimeWhileTheLoopIsBlocked() {
    constexpr std::size_t kBodyBytes = 50000;
    GatewayHarness harness;
    std::unique_ptr<LoopBlocker> blocker;
    absl::Notification blocked;
    harness.first.EnqueueAnswer([&](const RawRequest& request) {
      blocker = std::make_unique<LoopBlocker>(harness);
      blocked.Notify();
      return Script{ResponseBytes(request, "200 OK",
                                  std::string(kBodyBytes, 'x'), kSigned)};
    });
    KeepAliveClient caller(harness);
    caller.Write(harness.KeepAliveRequestText(
        "GET", "/any/", "X-Dragonflyglade-Deadline-Ms: 500\r\n"));
    blocked.WaitForNotification();
    absl::SleepFor(2 * kShortLimit);
    blocker.reset();
    CPPUNIT_ASSERT_EQUAL(200, caller.ReadStatus());
  }

  // Guards against requests that are lost to a close of an idle connection. The
  // gateway must announce its idle timeout, and must keep the connection open
  // long enough for a request that is sent just within it.
  void KeepsTheConnectionForTheAnnouncedIdleTimeout() {
    GatewayHarness::Options options;
    options.limits = {{"idle_timeout_ms", 2 * kShortLimitMs}};
    GatewayHarness harness(std::move(options));
    KeepAliveClient caller(harness);
    caller.Write(harness.KeepAliveRequestText("GET", "/any/"));
    const RawRequest response = caller.Read();
    CPPUNIT_ASSERT_EQUAL(std::string("timeout=1"),
                         response.Field("Keep-Alive"));
    absl::SleepFor(2 * kShortLimit + kTravelTime);
    CPPUNIT_ASSERT_EQUAL(200, caller.Call());
  }

  // Guards against a connection that is closed by an outdated idle timeout. The
  // configuration changes while the connection is idle. Callers may go by the
  // old timeout or the new one, so the longer one must apply.
  void AppliesTheLongestIdleTimeoutOfTheWait() {
    const std::vector<ChangedLimitCase> cases = {
        {"raised", kShortLimitMs, kLongLimitMs},
        {"lowered", kLongLimitMs, kShortLimitMs},
    };
    for (const ChangedLimitCase& item : cases) {
      GatewayHarness::Options options;
      options.limits = {{"idle_timeout_ms", item.before_ms}};
      GatewayHarness harness(std::move(options));
      KeepAliveClient caller(harness);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.Call());
      json newer = harness.Config(2, "plain");
      newer["limits"] = {{"idle_timeout_ms", item.after_ms}};
      harness.PutConfig(newer);
      absl::SleepFor(kPastShortLimit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, 200, caller.Call());
    }
  }

  void ClosesAnIdleConnection() {
    GatewayHarness::Options options;
    options.limits = {{"idle_timeout_ms", kShortLimitMs}};
    GatewayHarness harness(std::move(options));
    KeepAliveClient caller(harness);
    CPPUNIT_ASSERT_EQUAL(200, caller.Call());
    CPPUNIT_ASSERT_EQUAL(0, caller.ReadStatus());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(PlatformConnectionsTest,
                                      "platform-connections");

}  // namespace
}  // namespace dragonflyglade
