#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "dragonflyglade/gateway/spend_record.h"
#include "tests/platform/restarted_instance.h"

namespace dragonflyglade {
namespace {

using Reply = GatewayHarness::Reply;
using Script = PlatformTargetStandIn::Script;

constexpr int kInstances = 40;
// Of the harness: the workspace of the key k3 may have 10,000 tokens a second
// and as many at once, in a window of 8 s. A request has 100.
constexpr double kAllowedRequests = (10000 * 8 + 10000) / 100.0;
// Of the harness, over all instances.
constexpr double kAllowedRetries = 100;
constexpr int kCalls = 60;

Script Decline(const RawRequest& request) {
  if (request.IsInspection()) return SuccessfulResponse(request);
  return {ResponseBytes(request, "503 Service Unavailable", "",
                        "X-Dragonflyglade-Not-Executed: 1\r\n")};
}

// The store's record of an earlier time, when there were many instances.
void PutSpendRecord(PlatformStoreStandIn& store, absl::Duration age) {
  gateway::SpendRecord record;
  record.written = absl::Now() - age;
  for (int i = 0; i < kInstances; ++i) {
    gateway::ProcessSpend process;
    process.instance = absl::StrCat("before-", i);
    process.incarnation = absl::StrCat("process-", i);
    process.listed = true;
    process.tokens["large"] = 10;
    record.processes.push_back(std::move(process));
  }
  store.Put(std::string(gateway::FleetState::kSpendRecordKey),
            gateway::EncodeSpendRecord(record));
}

class RestartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartsTest);
  CPPUNIT_TEST(SharesTheQuotaWithInstancesThatAreNotBackYet);
  CPPUNIT_TEST(SharesTheRetriesWithInstancesThatAreNotBackYet);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a workspace that gets its whole quota at each instance, when
  // all were killed and none knows the others yet.
  void SharesTheQuotaWithInstancesThatAreNotBackYet() {
    RestartedInstance restarted(SuccessfulResponse);
    PutSpendRecord(restarted.store, absl::Seconds(1));
    restarted.PutTarget("v1");
    restarted.Start();
    int served = 0;
    for (int i = 0; i < kCalls; ++i) {
      const Reply reply = restarted.Call("GET", "/any/", "k3");
      CPPUNIT_ASSERT(reply.status == 200 || reply.status == 429);
      served += reply.status == 200 ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(served, " served"),
                           served <= kAllowedRequests / kInstances);
  }

  // Guards against targets that get the whole fleet's retries from each
  // instance, also long after the record was written.
  void SharesTheRetriesWithInstancesThatAreNotBackYet() {
    for (const absl::Duration age : {absl::Seconds(1), absl::Minutes(5)}) {
      std::atomic<bool> declines = false;
      RestartedInstance restarted([&declines](const RawRequest& request) {
        return declines ? Decline(request) : SuccessfulResponse(request);
      });
      PutSpendRecord(restarted.store, age);
      restarted.PutTarget("v1");
      restarted.Start();
      declines = true;
      const std::size_t before = restarted.harness.RequestCount();
      for (int i = 0; i < kCalls; ++i) {
        CPPUNIT_ASSERT_EQUAL(503, restarted.Call("GET", "/any/").status);
      }
      int arrived = 0;
      const auto requests = restarted.harness.first.Requests();
      for (std::size_t i = before; i < requests.size(); ++i) {
        arrived += requests[i].IsInspection() ? 0 : 1;
      }
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(arrived, " arrived"),
                             arrived - kCalls <= kAllowedRetries / kInstances);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RestartsTest, "platform-restarts");

}  // namespace
}  // namespace dragonflyglade
