#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "dragonflyglade/decision/distributed_rate_limiter.h"

namespace dragonflyglade {
namespace {

constexpr double kRate = 1000;
constexpr double kBurst = 1000;

// An instance that holds no share; two others hold a half each.
class Borrower {
 public:
  Borrower() : book("self", 1, RateLimiterOptions{}, Clock(&this->manual)) {
    this->manual.Advance(absl::Hours(1));
    Allotment allotment{"w", 1, {}};
    for (const char* name : {"a", "b"}) {
      allotment.holders.push_back(OwnerShare{name, 1, kFullShareMillionths / 2,
                                             kFullShareMillionths / 2, 0});
    }
    this->book.SetRate("w", RateLimit{kRate, kBurst});
    this->book.ApplyAllotment(allotment);
  }

  // Carries an admission on; peers answer from the instant `answers_from`.
  AdmissionStep Finish(Admission& admission, Instant answers_from) {
    while (true) {
      AdmissionStep step = this->book.Next(admission);
      if (const auto* borrow = std::get_if<BorrowFromPeer>(&step)) {
        std::optional<Loan> loan;
        if (this->manual.Now() >= answers_from) {
          loan = Loan{borrow->tokens, {}, absl::Milliseconds(100), 1, 0, 500};
        }
        this->book.CompleteLoan(admission, borrow->peer, loan);
      } else if (const auto* wait = std::get_if<WaitFor>(&step)) {
        ++this->waits;
        this->manual.Advance(wait->delay);
      } else {
        return step;
      }
    }
  }

  ManualClock manual;
  DistributedRateLimiter book;
  int waits = 0;
};

class ShareBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShareBookTest);
  CPPUNIT_TEST(SilentPeersAreAskedAgain);
  CPPUNIT_TEST(NobodyAnsweringIsNotOverRate);
  CPPUNIT_TEST(AShrinkingHolderConfirmsLater);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Both holders answer too late to one request, on a busy machine. The next
  // one must not be refused as over the rate because both are left out for a
  // while: they are asked again while the caller can wait.
  void SilentPeersAreAskedAgain() {
    Borrower borrower;
    const Instant now = borrower.manual.Now();
    Admission first = borrower.book.Begin("w", 10, absl::Milliseconds(250));
    const AdmissionStep step =
        borrower.Finish(first, now + absl::Milliseconds(30));
    CPPUNIT_ASSERT(std::holds_alternative<Admitted>(step));
    CPPUNIT_ASSERT(borrower.waits > 0);
    Admission second = borrower.book.Begin("w", 10, absl::Milliseconds(250));
    CPPUNIT_ASSERT(
        std::holds_alternative<Admitted>(borrower.Finish(second, Instant())));
  }

  void NobodyAnsweringIsNotOverRate() {
    Borrower borrower;
    Admission admission = borrower.book.Begin("w", 10, absl::Milliseconds(250));
    const AdmissionStep step =
        borrower.Finish(admission, absl::InfiniteDuration());
    CPPUNIT_ASSERT(std::holds_alternative<NoShareOwnerReachable>(step));
    CPPUNIT_ASSERT(borrower.manual.Now() - admission.started <=
                   absl::Milliseconds(250));
  }

  // A holder lends and is then told to shrink. What it lent may be spent for
  // a while yet, so it confirms the smaller share only after that.
  void AShrinkingHolderConfirmsLater() {
    ManualClock manual;
    DistributedRateLimiter book("a", 1, RateLimiterOptions{}, Clock(&manual));
    book.SetRate("w", RateLimit{kRate, kBurst});
    book.ApplyAllotment(Allotment{
        "w", 1, {{"a", 1, kFullShareMillionths, kFullShareMillionths, 0}}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, book.ConfirmedEpoch("w"));
    manual.Advance(absl::Seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10},
                         book.LendTokens("w", 10, absl::Seconds(1)).granted);
    book.ApplyAllotment(Allotment{
        "w", 2, {{"a", 1, kFullShareMillionths / 2, kFullShareMillionths, 0}}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, book.ConfirmedEpoch("w"));
    manual.Advance(absl::Seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, book.ConfirmedEpoch("w"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ShareBookTest, "unit-share-book");

}  // namespace
}  // namespace dragonflyglade
