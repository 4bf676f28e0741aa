#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

#include "measure/model/limits_fleet.h"

namespace dragonflyglade {
namespace {

constexpr int kRandomRuns = 60;

struct FleetCase {
  const char* name;
  std::size_t instances;
  ArrivalPattern arrival;
  std::vector<Fault> faults;
  double max_refused_fraction;  ///< of the requests within the rate
};

// Draws random faults, message loss and refunds, with a load of half to four
// times the rate.
LimitsRun RandomRun() {
  LimitsRun run;
  run.instances = *rc::gen::inRange<std::size_t>(2, 9);
  run.arrival = *rc::gen::element(
      ArrivalPattern::kEven, ArrivalPattern::kSkewed, ArrivalPattern::kMoving);
  run.seed = *rc::gen::arbitrary<std::uint64_t>();
  run.length = absl::Seconds(20);
  run.load_factor = *rc::gen::element(0.5, 1.0, 4.0);
  run.message_loss = *rc::gen::element(0.0, 0.05, 0.3);
  run.unused_fraction = *rc::gen::element(0.0, 0.5, 0.95);
  if (*rc::gen::arbitrary<bool>()) {
    // A small burst: the bucket is full long before unused tokens are refunded.
    run.burst = 4'000;
    run.cost = 600;
    run.phase_length = absl::Milliseconds(*rc::gen::inRange(50, 1000));
  }
  run.list_lag = absl::Seconds(*rc::gen::inRange(0, 12));
  const int faults = *rc::gen::inRange(0, 7);
  for (int i = 0; i < faults; ++i) {
    Fault fault;
    fault.kind = *rc::gen::element(FaultKind::kKill, FaultKind::kPause,
                                   FaultKind::kRestart, FaultKind::kPartition);
    fault.at = absl::Milliseconds(*rc::gen::inRange(0, 20'000));
    fault.instance = *rc::gen::inRange<std::size_t>(0, 9);
    fault.length = absl::Milliseconds(*rc::gen::inRange(1, 9'000));
    run.faults.push_back(fault);
  }
  return run;
}

class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(RefusesFewRequestsWithinTheRate);
  CPPUNIT_TEST(NeverAdmitsMoreThanRateAndBurst);
  CPPUNIT_TEST(NaiveRefundExceedsTheBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusesFewRequestsWithinTheRate() {
    // The share of a terminated owner is unusable until the instance list
    // drops the owner 10 s later: a sixth of the rate for a sixth of the run.
    const Fault kill{FaultKind::kKill, absl::Seconds(20), OwnerIndex(6), {}};
    const std::vector<FleetCase> cases = {
        {"even", 6, ArrivalPattern::kEven, {}, 0.001},
        {"skewed", 6, ArrivalPattern::kSkewed, {}, 0.001},
        {"moving", 6, ArrivalPattern::kMoving, {}, 0.001},
        {"a holder dies", 6, ArrivalPattern::kSkewed, {kill}, 1.0 / 6 / 6},
    };
    for (const FleetCase& item : cases) {
      LimitsRun run;
      run.instances = item.instances;
      run.arrival = item.arrival;
      run.faults = item.faults;
      const LimitsResult result = LimitsFleet(run).Run();
      CPPUNIT_ASSERT_MESSAGE(item.name, result.offered > 500);
      CPPUNIT_ASSERT_MESSAGE(
          item.name,
          result.refused <= item.max_refused_fraction * result.offered);
      CPPUNIT_ASSERT_MESSAGE(item.name, result.overshoot <= 0);
    }
  }

  // Guards against admitting more than burst + rate * t of a workspace's tokens
  // in any time window of length t. Instances are killed, paused, restarted and
  // partitioned at random, messages are lost, and refunds of unused tokens
  // arrive late.
  void NeverAdmitsMoreThanRateAndBurst() {
    int runs = 0;
    const bool holds = rc::check("no window above the bound", [&runs] {
      if (++runs > kRandomRuns) return;
      const LimitsResult result = LimitsFleet(RandomRun()).Run();
      RC_ASSERT(result.overshoot <= 1e-3);
    });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against a check that detects nothing: a refund that ignores the
  // bucket's overflow since the charge must exceed the bound.
  void NaiveRefundExceedsTheBound() {
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      LimitsRun run;
      run.seed = seed;
      run.unused_fraction = 0.95;
      run.burst = 4'000;
      run.cost = 600;
      run.load_factor = 4;
      run.phase_length = absl::Milliseconds(500);
      run.instances = 1;
      run.naive_refund = true;
      worst = std::max(worst, LimitsFleet(run).Run().overshoot);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(worst), worst > 1000);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(LimitsTest, "unit-limits");

}  // namespace
}  // namespace dragonflyglade
