#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "dragonflyglade/decision/target_registry.h"

namespace dragonflyglade {
namespace {

constexpr const char* kPool = "p";

class TestRegistry {
 public:
  TestRegistry() : registry(Options(), Clock(&this->manual), 1) {
    this->manual.Advance(absl::Hours(1));
    this->registry.ApplyTargetList(
        1, {MakeTarget("a", "near"), MakeTarget("b", "far")});
    this->Report("a", 0);
    this->Report("b", 0);
  }

  static TargetOptions Options() {
    TargetOptions options;
    options.max_in_flight = 4;
    return options;
  }

  static ListedTarget MakeTarget(const char* name, const char* zone) {
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
    this->registry.ApplyLoadReport(kPool, name, report);
  }

  std::variant<TargetReservation, ReservationError> ReserveTarget(
      double tokens = 10) {
    TargetRequirements requirements;
    requirements.pool = kPool;
    requirements.model = this->model;
    requirements.zone = "near";
    requirements.tokens = tokens;
    requirements.avoid = this->avoid;
    return this->registry.ReserveTarget(requirements);
  }

  std::string ReservedName(double tokens = 10) {
    const auto reservation = this->ReserveTarget(tokens);
    const auto* reserved = std::get_if<TargetReservation>(&reservation);
    return reserved == nullptr ? "none" : reserved->target;
  }

  ManualClock manual;
  TargetRegistry registry;
  std::string model = "m";
  std::set<std::string> avoid;
};

class TargetRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRegistryTest);
  CPPUNIT_TEST(PrefersNearAndIdleTargets);
  CPPUNIT_TEST(WeighsReportsByAge);
  CPPUNIT_TEST(LimitsRequestsPerInstance);
  CPPUNIT_TEST(TellsWhyReservationFailed);
  CPPUNIT_TEST(EjectsFailingTargetAndRampsUp);
  CPPUNIT_TEST(SendsNothingToLeavingTarget);
  CPPUNIT_TEST(IgnoresOlderList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrefersNearAndIdleTargets() {
    TestRegistry test;
    CPPUNIT_ASSERT_EQUAL(std::string("a"), test.ReservedName(1000));
    test.Report("a", 8);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), test.ReservedName(1000));
  }

  void WeighsReportsByAge() {
    TestRegistry test;
    test.Report("a", 8);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), test.ReservedName(1000));
    test.Report("a", 8, absl::Seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), test.ReservedName(1000));
  }

  // Four instances share a target with eight slots. Each may use two of them
  // whatever the report says. Further requests to a full target wait at the
  // instances, whose queues are fair.
  void LimitsRequestsPerInstance() {
    TestRegistry test;
    test.registry.SetInstanceCount(4);
    test.avoid = {"b"};
    test.Report("a", 8);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), test.ReservedName());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), test.ReservedName());
    CPPUNIT_ASSERT(std::get<ReservationError>(test.ReserveTarget()) ==
                   ReservationError::kBusy);
  }

  void TellsWhyReservationFailed() {
    TestRegistry test;
    for (int i = 0; i < 8; ++i) test.ReservedName();
    CPPUNIT_ASSERT(std::get<ReservationError>(test.ReserveTarget()) ==
                   ReservationError::kBusy);
    test.model = "other";
    CPPUNIT_ASSERT(std::get<ReservationError>(test.ReserveTarget()) ==
                   ReservationError::kNotResident);
    test.model = "m";
    test.avoid = {"a", "b"};
    CPPUNIT_ASSERT(std::get<ReservationError>(test.ReserveTarget()) ==
                   ReservationError::kUnreachable);
    TargetRequirements elsewhere;
    elsewhere.pool = "q";
    CPPUNIT_ASSERT(std::get<ReservationError>(test.registry.ReserveTarget(
                       elsewhere)) == ReservationError::kUnknownPool);
  }

  // Failure: a target that returns after an ejection is still faulty and fails
  // many requests. A target is ejected after three consecutive failures. After
  // the ejection it gets one request at first, and the full number only after
  // the recovery time.
  void EjectsFailingTargetAndRampsUp() {
    TestRegistry test;
    test.avoid = {"b"};
    for (int i = 0; i < 3; ++i) {
      const auto reservation =
          std::get<TargetReservation>(test.ReserveTarget());
      test.registry.ReleaseTarget(reservation, RequestOutcome::kTargetFault);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("none"), test.ReservedName());
    test.manual.Advance(absl::Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), test.ReservedName());
    CPPUNIT_ASSERT_EQUAL(std::string("none"), test.ReservedName());
    test.manual.Advance(absl::Seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), test.ReservedName());
  }

  void SendsNothingToLeavingTarget() {
    TestRegistry test;
    test.registry.MarkLeaving("a");
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("b"), test.ReservedName());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("none"), test.ReservedName());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.registry.LeavingTargets().size());
    // A mark that is passed on keeps its age, so it expires.
    test.manual.Advance(absl::Minutes(2));
    CPPUNIT_ASSERT(test.registry.LeavingTargets().empty());
    test.registry.MarkLeaving("b", absl::Minutes(2));
    CPPUNIT_ASSERT(test.registry.LeavingTargets().empty());
  }

  void IgnoresOlderList() {
    TestRegistry test;
    test.registry.ApplyTargetList(0, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.registry.Status().size());
    test.registry.ApplyTargetList(2, {TestRegistry::MakeTarget("b", "far")});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.registry.Status().size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TargetRegistryTest, "unit-target-book");

}  // namespace
}  // namespace dragonflyglade
