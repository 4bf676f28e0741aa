#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "dragonflyglade/decision/target_registry.h"

namespace dragonflyglade {
namespace {

constexpr const char* kPool = "p";

class Book {
 public:
  Book() : book(Options(), Clock(&this->manual), 1) {
    this->manual.Advance(absl::Hours(1));
    this->book.TakeList(1, {Listed("a", "near"), Listed("b", "far")});
    this->Report("a", 0);
    this->Report("b", 0);
  }

  static TargetOptions Options() {
    TargetOptions options;
    options.max_in_flight = 4;
    return options;
  }

  static ListedTarget Listed(const char* name, const char* zone) {
    return ListedTarget{name, "127.0.0.1", 1, zone, kPool, false};
  }

  void Report(const char* name, int running,
              absl::Duration lag = absl::ZeroDuration()) {
    LoadReport report;
    report.running = running;
    report.slots = 8;
    report.boot_id = "1";
    report.resident = {"m"};
    report.lag = lag;
    this->book.TakeReport(kPool, name, report);
  }

  std::variant<TargetReservation, ReservationError> Take(double tokens = 10) {
    TargetRequirements need;
    need.pool = kPool;
    need.model = this->model;
    need.zone = "near";
    need.tokens = tokens;
    need.avoid = this->avoid;
    return this->book.Take(need);
  }

  std::string TakeName(double tokens = 10) {
    const auto place = this->Take(tokens);
    const auto* found = std::get_if<TargetReservation>(&place);
    return found == nullptr ? "none" : found->target;
  }

  ManualClock manual;
  TargetRegistry book;
  std::string model = "m";
  std::set<std::string> avoid;
};

class TargetBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetBookTest);
  CPPUNIT_TEST(PrefersTheNearAndTheIdle);
  CPPUNIT_TEST(AnOldReportCountsForLess);
  CPPUNIT_TEST(SharersKeepTheBacklogHere);
  CPPUNIT_TEST(SaysWhyThereIsNoPlace);
  CPPUNIT_TEST(AFailingTargetIsSetAsideAndReturnsSlowly);
  CPPUNIT_TEST(ALeavingTargetGetsNoNewWork);
  CPPUNIT_TEST(AnOlderListChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrefersTheNearAndTheIdle() {
    Book book;
    CPPUNIT_ASSERT_EQUAL(std::string("a"), book.TakeName(1000));
    book.Report("a", 8);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), book.TakeName(1000));
  }

  void AnOldReportCountsForLess() {
    Book book;
    book.Report("a", 8);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), book.TakeName(1000));
    book.Report("a", 8, absl::Seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), book.TakeName(1000));
  }

  // Four instances share a target of eight slots. Each may use two of them
  // whatever the report says; a full target gets no more, so the rest waits
  // in the instances, where the queue is fair.
  void SharersKeepTheBacklogHere() {
    Book book;
    book.book.SetInstanceCount(4);
    book.avoid = {"b"};
    book.Report("a", 8);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), book.TakeName());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), book.TakeName());
    CPPUNIT_ASSERT(std::get<ReservationError>(book.Take()) ==
                   ReservationError::kBusy);
  }

  void SaysWhyThereIsNoPlace() {
    Book book;
    for (int i = 0; i < 8; ++i) book.TakeName();
    CPPUNIT_ASSERT(std::get<ReservationError>(book.Take()) ==
                   ReservationError::kBusy);
    book.model = "other";
    CPPUNIT_ASSERT(std::get<ReservationError>(book.Take()) ==
                   ReservationError::kNotResident);
    book.model = "m";
    book.avoid = {"a", "b"};
    CPPUNIT_ASSERT(std::get<ReservationError>(book.Take()) ==
                   ReservationError::kUnreachable);
    TargetRequirements elsewhere;
    elsewhere.pool = "q";
    CPPUNIT_ASSERT(std::get<ReservationError>(book.book.Take(elsewhere)) ==
                   ReservationError::kUnknownPool);
  }

  // Three failures in a row set a target aside. When it may come back it gets
  // one request at first and its full budget only after the return time, so
  // that one which is still ill takes few requests with it.
  void AFailingTargetIsSetAsideAndReturnsSlowly() {
    Book book;
    book.avoid = {"b"};
    for (int i = 0; i < 3; ++i) {
      const auto place = std::get<TargetReservation>(book.Take());
      book.book.Finish(place, RequestOutcome::kTargetFault);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("none"), book.TakeName());
    book.manual.Advance(absl::Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), book.TakeName());
    CPPUNIT_ASSERT_EQUAL(std::string("none"), book.TakeName());
    book.manual.Advance(absl::Seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), book.TakeName());
  }

  void ALeavingTargetGetsNoNewWork() {
    Book book;
    book.book.MarkLeaving("a");
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), book.TakeName());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("none"), book.TakeName());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.book.LeavingTargets().size());
    // A mark that is passed on keeps its age, so marks die out.
    book.manual.Advance(absl::Minutes(2));
    CPPUNIT_ASSERT(book.book.LeavingTargets().empty());
    book.book.MarkLeaving("b", absl::Minutes(2));
    CPPUNIT_ASSERT(book.book.LeavingTargets().empty());
  }

  void AnOlderListChangesNothing() {
    Book book;
    book.book.TakeList(0, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, book.book.Status().size());
    book.book.TakeList(2, {Book::Listed("b", "far")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, book.book.Status().size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetBookTest, "unit-target-book");

}  // namespace
}  // namespace dragonflyglade
