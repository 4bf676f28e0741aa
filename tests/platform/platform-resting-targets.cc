#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "tests/platform/two_instances.h"
// After the gateway's headers, which include what Asio's leave out.
#include <boost/asio/co_spawn.hpp>

namespace dragonflyglade {
namespace {

constexpr absl::Duration kCallInterval = absl::Milliseconds(10);
// Within which requests that cross the answer may still arrive.
constexpr absl::Duration kCrossingTime = absl::Milliseconds(100);
// For which requests are counted at the most.
constexpr absl::Duration kMaxCounted = absl::Milliseconds(1500);

// How a target turns a request away.
struct Decline {
  std::string name;
  std::string status;
  std::string fields;
  absl::Duration rest;  ///< that it asks for; zero: none
};

// A target that can be told to turn requests away.
class MoodyTarget {
 public:
  PlatformTargetStandIn::Answer Answer() {
    return [this](const RawRequest& request) {
      const Decline* decline = this->decline;
      if (decline == nullptr) return SuccessfulResponse(request);
      this->declined += 1;
      return PlatformTargetStandIn::Script{
          ResponseBytes(request, decline->status, "", decline->fields)};
    };
  }

  std::atomic<const Decline*> decline = nullptr;
  std::atomic<int> declined = 0;
};

const Decline kRestsForASecond = {"a second", "503 Busy",
                                  "X-Dragonflyglade-Not-Executed: 1\r\n"
                                  "Retry-After: 1\r\n",
                                  absl::Seconds(1)};

// Requests of callers that have reached the target; the leader's questions what
// the target holds are none.
int Arrived(const PlatformTargetStandIn& target) {
  int arrived = 0;
  for (const RawRequest& request : target.Requests()) {
    if (absl::StrContains(request.Line(), " /any/")) arrived += 1;
  }
  return arrived;
}

class RestingTargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestingTargetsTest);
  CPPUNIT_TEST(GetNoRequests);
  CPPUNIT_TEST(AreNoLastResort);
  CPPUNIT_TEST(GetNoRequestsThroughTunnels);
  CPPUNIT_TEST(GetNoRequestsWhenTheirRecordsAreBack);
  CPPUNIT_TEST(GetNoRequestsThatWereChosenBefore);
  CPPUNIT_TEST_SUITE_END();

  // Guards against requests to a target that has asked for rest.
  void GetNoRequests() {
    const std::string marked = "X-Dragonflyglade-Not-Executed: 1\r\n";
    const absl::Duration rest = absl::Milliseconds(800);
    const std::vector<Decline> cases = {
        {"a rest", "503 Busy", marked + "Retry-After: 0.8\r\n", rest},
        {"the field with the prefix of the others", "503 Busy",
         marked + "X-Dragonflyglade-Retry-After: 0.8\r\n", rest},
        {"too many requests", "429 Slow", marked + "Retry-After: 0.8\r\n",
         rest},
        {"not marked as not executed", "503 Busy", "Retry-After: 0.8\r\n",
         rest},
        {"an hour", "503 Busy", marked + "Retry-After: 3600\r\n",
         absl::Hours(1)},
        {"a date", "503 Busy",
         marked + "Date: Tue, 01 Dec 2026 08:00:00 GMT\r\n"
                  "Retry-After: Tue, 01 Dec 2026 08:00:01 GMT\r\n",
         absl::Seconds(1)},
        {"none", "503 Busy", marked, absl::ZeroDuration()},
        {"zero", "503 Busy", marked + "Retry-After: 0\r\n",
         absl::ZeroDuration()},
        {"a negative one", "503 Busy", marked + "Retry-After: -3\r\n",
         absl::ZeroDuration()},
        {"unreadable", "503 Busy", marked + "Retry-After: soon\r\n",
         absl::ZeroDuration()},
        {"with a success", "200 OK", kSigned + "Retry-After: 0.8\r\n",
         absl::ZeroDuration()},
    };
    for (const Decline& item : cases) {
      MoodyTarget one;
      MoodyTarget two;
      TwoInstances pair(one.Answer(), two.Answer());
      one.decline = &item;
      pair.harness.WaitFor([&] {
        pair.Call("");
        return one.declined > 0;
      });
      one.decline = nullptr;
      const absl::Time declined_at = absl::Now();
      const absl::Duration counted =
          item.rest > absl::ZeroDuration()
              ? std::min(item.rest, kMaxCounted) - 2 * kCallInterval
              : kMaxCounted;
      const int arrived = this->CallUntil(pair, declined_at + counted);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.rest == absl::ZeroDuration(),
                                   arrived > 0);
      if (item.rest > kMaxCounted) continue;
      absl::SleepFor(declined_at + item.rest + kCrossingTime - absl::Now());
      two.decline = &kRestsForASecond;
      pair.harness.WaitFor([&] {
        pair.Call("");
        return two.declined > 0;
      });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 200, pair.Call("").status);
    }
  }

  // Guards against requests that are sent to resting targets since no other
  // target is left, and against callers who all come back at the same moment.
  void AreNoLastResort() {
    MoodyTarget one;
    MoodyTarget two;
    TwoInstances pair(one.Answer(), two.Answer());
    one.decline = &kRestsForASecond;
    two.decline = &kRestsForASecond;
    pair.harness.WaitFor([&] {
      pair.Call("");
      return one.declined > 0 && two.declined > 0;
    });
    const absl::Time end = absl::Now() + kRestsForASecond.rest;
    const int before = Arrived(pair.target_one) + Arrived(pair.target_two);
    std::set<std::string> return_times;
    while (absl::Now() < end - 2 * kCrossingTime) {
      const absl::Time start = absl::Now();
      const GatewayHarness::Reply reply = pair.Call("");
      CPPUNIT_ASSERT_EQUAL(503, reply.status);
      CPPUNIT_ASSERT(absl::Now() - start < kCrossingTime);
      const std::string retry_after = reply.Field("Retry-After");
      return_times.insert(retry_after);
      CPPUNIT_ASSERT(start + absl::Seconds(std::stod(retry_after)) >
                     end - kCrossingTime);
      absl::SleepFor(kCallInterval);
    }
    CPPUNIT_ASSERT_EQUAL(before,
                         Arrived(pair.target_one) + Arrived(pair.target_two));
    CPPUNIT_ASSERT(return_times.size() > 10);
    one.decline = nullptr;
    two.decline = nullptr;
    absl::SleepFor(end + kCrossingTime - absl::Now());
    CPPUNIT_ASSERT_EQUAL(200, pair.Call("").status);
  }

  // Guards against requests that reach a resting target from the instance which
  // it asked for rest, but are another instance's.
  void GetNoRequestsThroughTunnels() {
    for (const bool tunneled : {true, false}) {
      const std::string name =
          tunneled ? "a tunnel's request is turned away" : "an own request is";
      MoodyTarget one;
      MoodyTarget two;
      TwoInstances pair(one.Answer(), two.Answer());
      pair.Isolate();
      pair.harness.WaitFor([&] { return pair.Call("").status == 200; });
      one.decline = &kRestsForASecond;
      pair.harness.WaitFor([&] {
        if (tunneled) {
          pair.Call("");
        } else {
          pair.CallSecond();
        }
        return one.declined > 0;
      });
      one.decline = nullptr;
      const absl::Time declined_at = absl::Now();
      absl::SleepFor(kCrossingTime);
      const int before = Arrived(pair.target_one);
      while (absl::Now() <
             declined_at + kRestsForASecond.rest - 2 * kCallInterval) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, pair.Call("").status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, pair.CallSecond().status);
        absl::SleepFor(kCallInterval);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, before, Arrived(pair.target_one));
    }
  }

  // Guards against requests to a resting target whose record was missing for a
  // moment.
  void GetNoRequestsWhenTheirRecordsAreBack() {
    MoodyTarget one;
    MoodyTarget two;
    TwoInstances pair(one.Answer(), two.Answer());
    const auto is_known = [&pair] {
      return pair.harness.Read<bool>([&pair] {
        return pair.harness.gateway->Fleet().Target("i-1") != nullptr;
      });
    };
    one.decline = &kRestsForASecond;
    pair.harness.WaitFor([&] {
      pair.Call("");
      return one.declined > 0;
    });
    one.decline = nullptr;
    const absl::Time declined_at = absl::Now();
    pair.harness.store.Delete("servers/i-1");
    pair.harness.WaitFor([&] { return !is_known(); });
    pair.harness.PutTarget("i-1", pair.target_one, "ready");
    pair.harness.WaitFor(is_known);
    const absl::Time end = declined_at + kRestsForASecond.rest;
    CPPUNIT_ASSERT(absl::Now() < end - kCrossingTime);
    CPPUNIT_ASSERT_EQUAL(0, this->CallUntil(pair, end - 2 * kCallInterval));
  }

  // Guards against a request that is sent although the target asked for rest
  // while its connection was established.
  void GetNoRequestsThatWereChosenBefore() {
    PlatformTargetStandIn target(SuccessfulResponse);
    boost::asio::io_context context;
    gateway::ConnectionPool pool;
    const gateway::WireFormat wire = platform::MakeWireFormat();
    const Clock clock{SteadyClock()};
    gateway::TargetExchange exchange(context, pool, wire, clock);
    exchange.CheckBeforeSend([] { return false; });
    gateway::ExchangeOutcome outcome;
    boost::asio::co_spawn(
        context,
        exchange.Run(target.Address(), "r1", "GET /any/ HTTP/1.1\r\n\r\n",
                     nullptr, clock.Now() + absl::Seconds(5)),
        [&outcome](const std::exception_ptr&, gateway::ExchangeOutcome result) {
          outcome = std::move(result);
        });
    context.run();
    const auto* not_sent = std::get_if<gateway::NotSent>(&outcome);
    CPPUNIT_ASSERT(not_sent != nullptr && not_sent->withheld);
    CPPUNIT_ASSERT(target.Requests().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.Idle());
  }

 private:
  // Calls the first instance, which must be served.
  // @return requests that reached the first target
  int CallUntil(TwoInstances& pair, absl::Time end) {
    const int before = Arrived(pair.target_one);
    while (absl::Now() < end) {
      CPPUNIT_ASSERT_EQUAL(200, pair.Call("").status);
      absl::SleepFor(kCallInterval);
    }
    return Arrived(pair.target_one) - before;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RestingTargetsTest,
                                      "platform-resting-targets");

}  // namespace
}  // namespace dragonflyglade
