#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "dragonflyglade/decision/token_bucket.h"

namespace dragonflyglade {
namespace {

constexpr double kRate = 10;
constexpr double kCap = 100;
constexpr double kTolerance = 1e-6;

TokenBucket FullBucket() {
  TokenBucket bucket{Instant()};
  bucket.Configure(kRate, kCap, Instant());
  bucket.Deposit(kCap, Instant());
  return bucket;
}

struct RefundCase {
  const char* name;
  double charged;
  double used;
  double seconds;   ///< until the refund
  double expected;  ///< level after it
};

class TokenBucketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenBucketTest);
  CPPUNIT_TEST(AccruesUpToItsCap);
  CPPUNIT_TEST(RefundsToTheLevelOfASmallerCharge);
  CPPUNIT_TEST(ALateRefundAllowsNoFurtherBurst);
  CPPUNIT_TEST(ReservationsAheadWaitInTurn);
  CPPUNIT_TEST(ReservedTokensCountTowardsTheCap);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AccruesUpToItsCap() {
    TokenBucket bucket{Instant()};
    bucket.Configure(kRate, kCap, Instant());
    CPPUNIT_ASSERT(!bucket.Withdraw(1, Instant()));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, bucket.Level(absl::Seconds(3)),
                                 kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(kCap, bucket.Level(absl::Seconds(60)),
                                 kTolerance);
    CPPUNIT_ASSERT(bucket.Withdraw(kCap, absl::Seconds(60)));
    CPPUNIT_ASSERT(!bucket.Withdraw(1, absl::Seconds(60)));
  }

  void RefundsToTheLevelOfASmallerCharge() {
    const std::vector<RefundCase> cases = {
        {"at once", 100, 20, 0, 80},
        {"while there is room", 100, 20, 1, 90},
        {"part of it has overflowed", 100, 20, 4, 100},
        {"all of it has overflowed", 100, 20, 60, 100},
        {"nothing was used", 60, 0, 2, 100},
    };
    for (const RefundCase& item : cases) {
      TokenBucket bucket = FullBucket();
      bucket.Withdraw(item.charged, Instant());
      const Instant later = absl::Seconds(item.seconds);
      bucket.Refund(item.charged - item.used, Instant(), later);
      CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(item.name, item.expected,
                                           bucket.Level(later), kTolerance);
    }
  }

  // Failure: a request takes the whole burst and uses little of it. The bucket
  // fills up, a second burst is taken, and only then the first request ends. If
  // its unused tokens are refunded now, a third burst follows within the same
  // second. Had the first request been charged what it used, the bucket would
  // have been full long before, so there is nothing to refund.
  void ALateRefundAllowsNoFurtherBurst() {
    TokenBucket bucket = FullBucket();
    CPPUNIT_ASSERT(bucket.Withdraw(kCap, Instant()));
    const Instant refilled = absl::Seconds(10);
    CPPUNIT_ASSERT(bucket.Withdraw(kCap, refilled));
    const double refunded = bucket.Refund(kCap - 1, Instant(), refilled);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, refunded, kTolerance);
    CPPUNIT_ASSERT(!bucket.Withdraw(1, refilled));
  }

  void ReservationsAheadWaitInTurn() {
    TokenBucket bucket{Instant()};
    bucket.Configure(kRate, kCap, Instant());
    const auto first = bucket.Reserve(5, absl::Seconds(2), {}, Instant());
    const auto second = bucket.Reserve(5, absl::Seconds(2), {}, Instant());
    const auto third = bucket.Reserve(15, absl::Seconds(2), {}, Instant());
    CPPUNIT_ASSERT_EQUAL(absl::Milliseconds(500), first->wait);
    CPPUNIT_ASSERT_EQUAL(absl::Seconds(1), second->wait);
    CPPUNIT_ASSERT(!third.has_value());
    CPPUNIT_ASSERT(!bucket.Reserve(kCap + 1, absl::Hours(1), {}, Instant()));
  }

  // Failure: a full bucket lends half of its tokens and fills up again before
  // they expire, so that the borrower and the bucket both spend them.
  void ReservedTokensCountTowardsTheCap() {
    TokenBucket bucket = FullBucket();
    const auto loan =
        bucket.Reserve(50, absl::Seconds(0), absl::Seconds(2), Instant());
    CPPUNIT_ASSERT(loan.has_value());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, bucket.Level(absl::Seconds(2)),
                                 kTolerance);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(60, bucket.Level(absl::Seconds(3)),
                                 kTolerance);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TokenBucketTest, "unit-token-bucket");

}  // namespace
}  // namespace dragonflyglade
