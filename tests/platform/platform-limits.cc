#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/thrift_codec.h"
#include "dragonflyglade/peer/generated/fleet_types.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {
namespace {

using boost::asio::ip::udp;

constexpr absl::Duration kWindow = absl::Seconds(4);

// A target that names its limit in each response and records its requests.
class LimitedTarget {
 public:
  explicit LimitedTarget(std::string field) : field(std::move(field)) {}

  PlatformTargetStandIn::Script Answer(const RawRequest& request) {
    absl::MutexLock lock(&this->mutex);
    this->arrivals.push_back(absl::Now());
    return {ResponseBytes(request, "200 OK", "done",
                          absl::StrCat(kSigned, this->field, "\r\n"))};
  }

  /// The most requests in any window that begins after the time.
  int MostInWindow(absl::Time after) const {
    absl::MutexLock lock(&this->mutex);
    int most = 0;
    for (const absl::Time begin : this->arrivals) {
      if (begin < after) continue;
      const auto in_window = std::count_if(
          this->arrivals.begin(), this->arrivals.end(), [begin](absl::Time at) {
            return at >= begin && at < begin + kWindow;
          });
      most = std::max(most, static_cast<int>(in_window));
    }
    return most;
  }

 private:
  const std::string field;
  mutable absl::Mutex mutex;
  std::vector<absl::Time> arrivals;
};

// Another instance that reports to the gateway, which is the leader.
class Peer {
 public:
  explicit Peer(GatewayHarness& harness)
      : leader(boost::asio::ip::address_v4::loopback(),
               static_cast<unsigned short>(
                   harness.gateway->Settings().peers.port)),
        socket(this->context,
               udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

  void Report(std::vector<wire::TargetLimit> limits) {
    wire::FleetMessage message;
    wire::InstanceReport report;
    report.instance = "two";
    report.incarnation = "two-1";
    report.address =
        absl::StrCat("127.0.0.1:", this->socket.local_endpoint().port());
    report.sequence = ++this->sequence;
    report.listed = true;
    report.interval_ms = 200;
    report.limits = std::move(limits);
    message.__set_report(std::move(report));
    this->socket.send_to(boost::asio::buffer(gateway::EncodeThrift(message)),
                         this->leader);
  }

  /// The limits of the next summary.
  std::vector<wire::TargetLimit> ReceiveLimits() {
    std::string buffer(65000, '\0');
    while (true) {
      const std::size_t size =
          this->socket.receive(boost::asio::buffer(buffer));
      const auto message = gateway::DecodeThrift<wire::FleetMessage>(
          std::string_view(buffer.data(), size));
      CPPUNIT_ASSERT(message.has_value());
      if (message->__isset.summary) return message->summary.limits;
    }
  }

 private:
  boost::asio::io_context context;
  const udp::endpoint leader;
  udp::socket socket;
  std::int64_t sequence = 0;
};

std::size_t KnownTargets(GatewayHarness& harness) {
  return harness.Read<std::size_t>(
      [&] { return harness.gateway->Fleet().Targets("s").size(); });
}

class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(KeepsTheLimitThatATargetNames);
  CPPUNIT_TEST(KeepsTheLimitWhenTheEntryWasMissing);
  CPPUNIT_TEST(UsesTheTargetAgainWhenItNamesNoLimit);
  CPPUNIT_TEST(RefusesAtOnceIfTheLimitOfTheOnlyTargetIsReached);
  CPPUNIT_TEST(PassesLimitsOn);
  CPPUNIT_TEST(DividesManyLimitsAmongMessages);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against as many requests as before the target named its limit.
  void KeepsTheLimitThatATargetNames() {
    for (const char* field :
         {"Server-Limit: 1", "X-Dragonflyglade-Server-Limit: 1.0"}) {
      LimitedTarget limited(field);
      GatewayHarness harness;
      harness.AddSecond();
      const absl::Time start = absl::Now();
      while (absl::Now() < start + absl::Seconds(6)) {
        harness.first.EnqueueAnswer(
            [&](const RawRequest& request) { return limited.Answer(request); });
        CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
        absl::SleepFor(absl::Milliseconds(40));
      }
      const int most = limited.MostInWindow(start + absl::Milliseconds(500));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(field, ": ", most), most <= 11);
      CPPUNIT_ASSERT_MESSAGE("nothing is sent that could end the limit",
                             most > 0);
    }
  }

  // Guards against as many requests again as the limit allows, each time that
  // the target's entry was missing for a moment.
  void KeepsTheLimitWhenTheEntryWasMissing() {
    // Of a target that takes one request a second: one and a half times what
    // that allows in the window, and five.
    constexpr int kAllowed = 11;
    LimitedTarget limited("Server-Limit: 1");
    GatewayHarness harness;
    harness.AddSecond();
    const std::string key = "servers/i-1";
    const std::string entry = harness.store.Get(key);
    const absl::Time start = absl::Now();
    for (const int gap : {0, 1, 2, 3}) {
      const absl::Time end = start + (gap + 1) * absl::Milliseconds(1500);
      while (absl::Now() < end) {
        harness.first.EnqueueAnswer(
            [&](const RawRequest& request) { return limited.Answer(request); });
        CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
        absl::SleepFor(absl::Milliseconds(20));
      }
      harness.store.Delete(key);
      harness.WaitFor([&] { return KnownTargets(harness) == 1; });
      harness.store.Put(key, entry);
      harness.WaitFor([&] { return KnownTargets(harness) == 2; });
    }
    const int most = limited.MostInWindow(start + absl::Milliseconds(500));
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(most), most <= kAllowed);
  }

  // Guards against next to no requests for a target that has recovered.
  void UsesTheTargetAgainWhenItNamesNoLimit() {
    GatewayHarness harness;
    WaitUntilListed(harness);
    LimitedTarget limited("Server-Limit: 2");
    harness.first.EnqueueAnswer(
        [&](const RawRequest& request) { return limited.Answer(request); });
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
    CPPUNIT_ASSERT(LimitOf(harness) == 2.0);
    CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
    CPPUNIT_ASSERT(!LimitOf(harness).has_value());
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, harness.Call("GET", "/any/").status);
    }
  }

  // Guards against requests that wait until their callers give up.
  void RefusesAtOnceIfTheLimitOfTheOnlyTargetIsReached() {
    LimitedTarget limited("Server-Limit: 1");
    const auto answer = [&](const RawRequest& request) {
      return limited.Answer(request);
    };
    GatewayHarness harness(answer);
    harness.PutTarget("i-1", harness.first, "ready",
                      {{{"name", "m"}, {"version", 1}}});
    WaitUntilListed(harness);
    harness.WaitFor([&] { return harness.CallModel("m").status != 503; });
    for (int i = 0; i < 10; ++i) harness.Call("GET", "/any/");
    const std::size_t before = harness.RequestCount();
    for (const bool with_model : {false, true}) {
      const absl::Time start = absl::Now();
      const GatewayHarness::Reply reply =
          with_model ? harness.CallModel("m") : harness.Call("GET", "/any/");
      CPPUNIT_ASSERT_EQUAL(503, reply.status);
      CPPUNIT_ASSERT(absl::StrContains(reply.text, "targets_limited"));
      CPPUNIT_ASSERT(absl::Now() - start < absl::Milliseconds(500));
      const double retry_after = std::stod(reply.Field("Retry-After"));
      CPPUNIT_ASSERT(retry_after > 0 && retry_after <= 4);
    }
    CPPUNIT_ASSERT_EQUAL(before, harness.RequestCount());
  }

  // Guards against instances that learn of a limit from own responses only.
  void PassesLimitsOn() {
    struct Case {
      std::string name;
      std::vector<wire::TargetLimit> reported;
      std::optional<double> limit;
    };
    constexpr std::int64_t kBorn = 1;
    const std::vector<Case> cases = {
        {"a limit", {Limit("i-1", kBorn, 2.5, 100)}, 2.5},
        {"of another process", {Limit("i-1", 7, 2.5, 100)}, {}},
        {"of an unknown target", {Limit("i-9", kBorn, 2.5, 100)}, {}},
        {"stated in the future", {Limit("i-1", kBorn, 2.5, -9999)}, 2.5},
        {"ended",
         {Limit("i-1", kBorn, 2.5, 500), Limit("i-1", kBorn, -1, 10)},
         {}},
        {"not a number",
         {Limit("i-1", kBorn, std::numeric_limits<double>::quiet_NaN(), 10)},
         {}},
    };
    for (const Case& item : cases) {
      GatewayHarness harness;
      harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
      Peer peer(harness);
      peer.Report(item.reported);
      const std::vector<wire::TargetLimit> summary = peer.ReceiveLimits();
      CPPUNIT_ASSERT_MESSAGE(item.name, LimitOf(harness) == item.limit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          item.name, item.limit.has_value(),
          !summary.empty() && summary[0].requests_per_second >= 0);
    }
  }

  // Guards against a summary that is too long for a datagram and never arrives.
  void DividesManyLimitsAmongMessages() {
    constexpr std::size_t kTargets = 600;
    constexpr std::size_t kMostPerMessage = 256;
    GatewayHarness harness;
    harness.WaitFor([&] { return harness.HoldsLeaderLease(); });
    std::vector<wire::TargetLimit> limits;
    for (std::size_t i = 0; i < kTargets; ++i) {
      const std::string id = absl::StrCat("many-", i);
      harness.PutTarget(id, harness.first, "ready");
      limits.push_back(Limit(id, 1, 2.5, 0));
    }
    harness.WaitFor([&] {
      return harness.Read<std::size_t>([&] {
        return harness.gateway->Fleet().Targets("s").size();
      }) > kTargets;
    });
    Peer peer(harness);
    std::set<std::string> seen;
    harness.WaitFor([&] {
      peer.Report(limits);
      const auto summary = peer.ReceiveLimits();
      CPPUNIT_ASSERT(summary.size() <= kMostPerMessage);
      for (const wire::TargetLimit& limit : summary) seen.insert(limit.target);
      return seen.size() >= kTargets;
    });
  }

 private:
  static wire::TargetLimit Limit(const std::string& target, std::int64_t born,
                                 double rate, std::int64_t age_ms) {
    wire::TargetLimit limit;
    limit.target = target;
    limit.born_ms = born;
    limit.requests_per_second = rate;
    limit.age_ms = age_ms;
    return limit;
  }

  // Only listed instances send to a target with a limit.
  static void WaitUntilListed(GatewayHarness& harness) {
    harness.WaitFor([&] {
      return harness.Read<bool>(
          [&] { return harness.gateway->Fleet().IsListed("one"); });
    });
  }

  static std::optional<double> LimitOf(GatewayHarness& harness) {
    return harness.Read<std::optional<double>>([&] {
      return harness.gateway->Fleet().Target("i-1")->RateLimit().Limit();
    });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LimitsTest, "platform-limits");

}  // namespace
}  // namespace dragonflyglade
