#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "dragonflyglade/decision/leader_lease.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kTtl = absl::Seconds(4);

struct MayActCase {
  const char* what;
  absl::Duration renewed_at;  ///< both clocks, when the call was sent
  absl::Duration steady_now;
  absl::Duration boot_now;
  bool may_act;
};

class DutyLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DutyLeaseTest);
  CPPUNIT_TEST(ActsOnlyWhileBothClocksShowTheLease);
  CPPUNIT_TEST(StopsWhenTheLeaseIsLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Two instances give one engine orders, and it loads more than it holds.
  // The first was suspended after its last renewal; its steady clock stood
  // still, so by that clock alone its lease would still run when it wakes,
  // while the store has let another instance in.
  void ActsOnlyWhileBothClocksShowTheLease() {
    const std::vector<MayActCase> cases = {
        {"just acquired: an order of the last holder may be on its way",
         absl::Seconds(0), absl::Seconds(1), absl::Seconds(1), false},
        {"the quiet time is over", absl::Seconds(2), absl::Seconds(3),
         absl::Seconds(3), true},
        {"the end of the lease less the margin", absl::Seconds(2),
         absl::Milliseconds(5599), absl::Milliseconds(5599), true},
        {"within the margin", absl::Seconds(2), absl::Milliseconds(5600),
         absl::Milliseconds(5600), false},
        {"suspended: only the boot clock went on", absl::Seconds(2),
         absl::Seconds(3), absl::Seconds(60), false},
        {"only the steady clock shows the end", absl::Seconds(2),
         absl::Seconds(60), absl::Seconds(3), false},
    };
    for (const MayActCase& item : cases) {
      ClockReadings now{absl::ZeroDuration(), absl::ZeroDuration()};
      LeaderLease lease({absl::Seconds(3), absl::Milliseconds(400)},
                        [&now] { return now; });
      lease.OnLeaseAcquired(7, now, kTtl);
      lease.OnLeaseRenewed({item.renewed_at, item.renewed_at}, kTtl);
      now = {item.steady_now, item.boot_now};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.what, item.may_act,
                                   lease.MayIssueOrders());
      CPPUNIT_ASSERT(lease.Held());
    }
  }

  void StopsWhenTheLeaseIsLost() {
    ClockReadings now{absl::ZeroDuration(), absl::ZeroDuration()};
    LeaderLease lease({absl::ZeroDuration(), absl::ZeroDuration()},
                      [&now] { return now; });
    CPPUNIT_ASSERT(!lease.MayIssueOrders());
    lease.OnLeaseAcquired(7, now, kTtl);
    CPPUNIT_ASSERT(lease.MayIssueOrders());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, lease.Fence());
    lease.Lost();
    CPPUNIT_ASSERT(!lease.MayIssueOrders());
    CPPUNIT_ASSERT(!lease.Held());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DutyLeaseTest, "unit-duty-lease");

}  // namespace
}  // namespace dragonflyglade
