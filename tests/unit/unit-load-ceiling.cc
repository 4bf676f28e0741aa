#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "dragonflyglade/decision/model_load_limiter.h"

namespace dragonflyglade {
namespace {

constexpr double kLoadsPerSecond = 2;
const ModelLoadLimiterOptions kOptions{absl::Seconds(5), 1, absl::Seconds(3),
                                       absl::Seconds(12)};
constexpr int kLoadsPerWindow = 13;  // by the rate, and 3 extra loads
constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr int kStepsPerTreatment = 25;

EngineOrderKey Order(int engine, std::int64_t orders_taken = 0) {
  return {absl::StrCat("e", engine), 1, orders_taken};
}

// Begins loads, each as soon as it is ordered, until no more may begin.
// @param round part of the orders' keys
// @return how many began
int BeginAllAllowed(ModelLoadLimiter& limiter, std::int64_t round) {
  int begun = 0;
  while (limiter.RemainingLoads(kLoadsPerSecond) > 0) {
    limiter.RecordOrdering(Order(begun, round));
    limiter.RecordBegun(Order(begun, round));
    begun += 1;
  }
  return begun;
}

// Engines that answer an order some time after they began its load, or not at
// all and carry it out late, and leaders that order as many loads as they may.
class LoadingFleet {
 public:
  // Starts a leader that knows nothing of the ones before.
  void ChangeLeader() {
    this->fence += 1;
    this->limiter.emplace(kOptions, Clock(&this->manual));
    for (Engine& engine : this->engines) {
      engine.is_ordered = false;
      engine.answer_at.reset();
      engine.known_orders = engine.orders_taken;
    }
  }

  // The leader does nothing for a while, and engines go on.
  void Freeze(absl::Duration time) {
    for (absl::Duration past; past < time; past += kStep) this->Advance();
  }

  void Advance() {
    this->manual.Advance(kStep);
    const Instant now = this->manual.Now();
    for (Engine& engine : this->engines) {
      if (engine.begin_at.has_value() && now >= *engine.begin_at) {
        this->CarryOut(engine, engine.begin_order);
        engine.begin_at.reset();
      }
      if (engine.late_at.has_value() && now >= *engine.late_at) {
        this->CarryOut(engine, engine.late_order);
        engine.late_at.reset();
      }
    }
  }

  void Lead() {
    this->limiter->OnLeadership(this->fence, kLoadsPerSecond);
    for (int i = 0; i < static_cast<int>(this->engines.size()); ++i) {
      this->HandleAnswer(i);
    }
    int left = this->limiter->RemainingLoads(kLoadsPerSecond);
    const int count = static_cast<int>(this->engines.size());
    const int first = this->next_engine;
    for (int turn = 0; turn < count; ++turn) {
      const int i = (first + turn) % count;
      const bool is_counted = this->limiter->IsCounted(this->Next(i));
      if (this->engines[i].is_ordered || (left == 0 && !is_counted)) continue;
      if (!is_counted) left -= 1;
      this->SendOrder(i);
      this->next_engine = i + 1;
    }
  }

  // Chooses how engines treat orders from now on, and when those that they do
  // not answer are carried out, as far as that may be.
  void ChangeTreatment() {
    this->treatment.unanswered_percent = *rc::gen::element(0, 0, 50, 90, 100);
    this->treatment.max_begin_steps = *rc::gen::element(0, 0, 4, 20);
    this->treatment.late_until =
        this->manual.Now() + *rc::gen::inRange(20, 150) * kStep;
  }

  int MostBegunInAWindow() const {
    int most = 0;
    for (const Instant first : this->begun) {
      const auto count = std::count_if(
          this->begun.begin(), this->begun.end(), [&](Instant at) {
            return at >= first && at - first <= kOptions.window;
          });
      most = std::max(most, static_cast<int>(count));
    }
    return most;
  }

 private:
  struct Engine {
    std::int64_t orders_taken = 0;
    std::int64_t known_orders = 0;  ///< by the leader
    bool is_ordered = false;        ///< the leader waits for its answer
    std::optional<Instant> begin_at;
    std::int64_t begin_order = 0;
    std::optional<Instant> answer_at;
    bool answers = true;
    std::optional<Instant> late_at;
    std::int64_t late_order = 0;
  };

  EngineOrderKey Next(int engine) const {
    return Order(engine, this->engines[engine].known_orders);
  }

  void CarryOut(Engine& engine, std::int64_t expected) {
    if (engine.orders_taken != expected) return;
    engine.orders_taken += 1;
    this->begun.push_back(this->manual.Now());
  }

  void SendOrder(int number) {
    Engine& engine = this->engines[number];
    this->limiter->RecordOrdering(this->Next(number));
    engine.is_ordered = true;
    const Instant now = this->manual.Now();
    const int begin = *rc::gen::inRange(0, this->treatment.max_begin_steps + 1);
    engine.answers =
        *rc::gen::inRange(0, 100) >= this->treatment.unanswered_percent;
    engine.answer_at = now + begin * kStep;
    if (engine.answers) {
      engine.begin_at = now + begin * kStep;
      engine.begin_order = engine.known_orders;
    } else {
      engine.late_at =
          std::clamp(this->treatment.late_until, now + absl::Seconds(2),
                     now + kOptions.max_order_delay);
      engine.late_order = engine.known_orders;
    }
  }

  void HandleAnswer(int number) {
    Engine& engine = this->engines[number];
    if (!engine.is_ordered || this->manual.Now() < *engine.answer_at) return;
    engine.is_ordered = false;
    const bool taken = engine.orders_taken == engine.known_orders + 1;
    if (engine.answers && taken && !engine.begin_at.has_value()) {
      this->limiter->RecordBegun(this->Next(number));
    } else {
      this->limiter->RecordUnanswered(this->Next(number));
    }
    this->limiter->RecordOrdersTaken(absl::StrCat("e", number), 1,
                                     engine.orders_taken);
    engine.known_orders = engine.orders_taken;
  }

  struct Treatment {
    int unanswered_percent = 0;
    int max_begin_steps = 0;  ///< from an order until its load begins
    Instant late_until;
  };

  ManualClock manual;
  Treatment treatment;
  int next_engine = 0;
  std::uint64_t fence = 0;
  std::optional<ModelLoadLimiter> limiter;
  std::vector<Engine> engines = std::vector<Engine>(40);
  std::vector<Instant> begun;
};

class ModelLoadLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelLoadLimiterTest);
  CPPUNIT_TEST(AllowsHalfOfAWindowAtOnce);
  CPPUNIT_TEST(AllowsPartsOfAWindowAtOnce);
  CPPUNIT_TEST(CountsUntilAWindowAfterTheLatestBegin);
  CPPUNIT_TEST(KeepsTheLimitForOrdersThatBeginLate);
  CPPUNIT_TEST(KeepsTheLimitAcrossLeaders);
  CPPUNIT_TEST(KeepsTheLimitAcrossShortLeaderships);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllowsHalfOfAWindowAtOnce() {
    ManualClock manual;
    manual.Advance(absl::Seconds(100));
    ModelLoadLimiter limiter(kOptions, Clock(&manual));
    CPPUNIT_ASSERT_EQUAL(6, BeginAllAllowed(limiter, 1));
    manual.Advance(absl::Milliseconds(2001));
    CPPUNIT_ASSERT_EQUAL(5, BeginAllAllowed(limiter, 2));
    manual.Advance(absl::Milliseconds(5001));
    CPPUNIT_ASSERT(limiter.OnLeadership(2, kLoadsPerSecond));
    CPPUNIT_ASSERT_EQUAL(5, BeginAllAllowed(limiter, 3));
  }

  void AllowsPartsOfAWindowAtOnce() {
    ManualClock manual;
    manual.Advance(absl::Seconds(100));
    ModelLoadLimiter limiter(kOptions, Clock(&manual));
    // A third may be open, and half may begin within two seconds.
    CPPUNIT_ASSERT_EQUAL(4, limiter.RemainingLoads(kLoadsPerSecond));
    for (int i = 0; i < 4; ++i) limiter.RecordOrdering(Order(i));
    CPPUNIT_ASSERT_EQUAL(0, limiter.RemainingLoads(kLoadsPerSecond));
    for (int i = 0; i < 4; ++i) limiter.RecordBegun(Order(i));
    CPPUNIT_ASSERT_EQUAL(2, limiter.RemainingLoads(kLoadsPerSecond));
    for (int i = 4; i < 6; ++i) limiter.RecordBegun(Order(i));
    CPPUNIT_ASSERT_EQUAL(0, limiter.RemainingLoads(kLoadsPerSecond));
    manual.Advance(absl::Milliseconds(2001));
    CPPUNIT_ASSERT_EQUAL(4, limiter.RemainingLoads(kLoadsPerSecond));
    manual.Advance(absl::Seconds(5));
    // What the leader before may have begun, and what may still begin.
    CPPUNIT_ASSERT(limiter.OnLeadership(2, kLoadsPerSecond));
    CPPUNIT_ASSERT(!limiter.OnLeadership(2, kLoadsPerSecond));
    CPPUNIT_ASSERT_EQUAL(6, limiter.CountedLoads());
    manual.Advance(absl::Milliseconds(2001));
    CPPUNIT_ASSERT_EQUAL(4, limiter.CountedLoads());
    manual.Advance(absl::Seconds(12));
    CPPUNIT_ASSERT_EQUAL(0, limiter.CountedLoads());
  }

  void CountsUntilAWindowAfterTheLatestBegin() {
    struct Case {
      const char* name;
      void (*settle)(ModelLoadLimiter& limiter);
      absl::Duration counted_for;  ///< after it is settled
    };
    const std::vector<Case> cases = {
        {"begun", [](auto& limiter) { limiter.RecordBegun(Order(1)); },
         absl::Seconds(5)},
        {"refused", [](auto& limiter) { limiter.RecordNotBegun(Order(1)); },
         absl::ZeroDuration()},
        {"unanswered",
         [](auto& limiter) { limiter.RecordUnanswered(Order(1)); },
         absl::Seconds(17)},
        {"unanswered, and not taken so far",
         [](auto& limiter) {
           limiter.RecordUnanswered(Order(1));
           limiter.RecordOrdersTaken("e1", 1, 0);
         },
         absl::Seconds(17)},
        {"unanswered, and taken by now",
         [](auto& limiter) {
           limiter.RecordUnanswered(Order(1));
           limiter.RecordOrdersTaken("e1", 1, 1);
         },
         absl::Seconds(5)},
        {"unanswered, and more taken by the next process",
         [](auto& limiter) {
           limiter.RecordUnanswered(Order(1));
           limiter.RecordOrdersTaken("e1", 2, 1);
         },
         absl::Seconds(17)},
        {"unanswered, and another order taken in its place",
         [](auto& limiter) {
           limiter.RecordUnanswered(Order(1));
           limiter.RecordVoid(Order(1));
         },
         absl::ZeroDuration()},
        {"unanswered, and ordered again, which was refused",
         [](auto& limiter) {
           limiter.RecordUnanswered(Order(1));
           limiter.RecordOrdering(Order(1));
           limiter.RecordNotBegun(Order(1));
         },
         absl::Seconds(17)},
    };
    for (const Case& item : cases) {
      ManualClock manual;
      manual.Advance(absl::Seconds(100));
      ModelLoadLimiter limiter(kOptions, Clock(&manual));
      limiter.RecordOrdering(Order(1));
      manual.Advance(absl::Seconds(60));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 1, limiter.CountedLoads());
      item.settle(limiter);
      const int counted = item.counted_for > absl::ZeroDuration() ? 1 : 0;
      manual.Advance(item.counted_for);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, counted, limiter.CountedLoads());
      manual.Advance(absl::Milliseconds(1));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, 0, limiter.CountedLoads());
    }
  }

  // Guards against a window with more loads than allowed, since orders begin
  // later than they are counted: a frozen leader, slow or missing answers.
  void KeepsTheLimitForOrdersThatBeginLate() {
    const bool kept = rc::check("no window has more than allowed", [] {
      LoadingFleet fleet;
      fleet.ChangeLeader();
      const int steps = *rc::gen::inRange(1, 400);
      for (int step = 0; step < steps; ++step) {
        if (step % kStepsPerTreatment == 0) fleet.ChangeTreatment();
        fleet.Lead();
        fleet.Advance();
        if (*rc::gen::inRange(0, 50) == 0) {
          fleet.Freeze(*rc::gen::inRange(0, 30) * kStep);
        }
      }
      RC_ASSERT(fleet.MostBegunInAWindow() <= kLoadsPerWindow);
    });
    CPPUNIT_ASSERT(kept);
  }

  // Guards against a leader and its successor that overload the weight store
  // together, also by orders of the first one that are carried out late.
  void KeepsTheLimitAcrossLeaders() {
    const bool kept = rc::check("no window has more than allowed", [] {
      LoadingFleet fleet;
      for (int leader = 0; leader < 3; ++leader) {
        fleet.ChangeLeader();
        const int steps = *rc::gen::inRange(150, 250);
        const int idle_steps = *rc::gen::inRange(0, 150);
        for (int step = 0; step < steps; ++step) {
          if (step % kStepsPerTreatment == 0) fleet.ChangeTreatment();
          if (step >= idle_steps) fleet.Lead();
          fleet.Advance();
        }
        fleet.Freeze(kOptions.leader_handover_delay);
      }
      RC_ASSERT(fleet.MostBegunInAWindow() <= kLoadsPerWindow);
    });
    CPPUNIT_ASSERT(kept);
  }

  // Guards against leaders that follow each other as soon as they may and
  // overload the weight store together.
  void KeepsTheLimitAcrossShortLeaderships() {
    const bool kept = rc::check("no window has more than allowed", [] {
      LoadingFleet fleet;
      for (int leader = 0; leader < 4; ++leader) {
        fleet.ChangeLeader();
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
          if (*rc::gen::inRange(0, 2) == 1) fleet.Lead();
          fleet.Advance();
        }
        fleet.Freeze(kOptions.leader_handover_delay);
      }
      RC_ASSERT(fleet.MostBegunInAWindow() <= kLoadsPerWindow);
    });
    CPPUNIT_ASSERT(kept);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ModelLoadLimiterTest,
                                      "unit-load-ceiling");

}  // namespace
}  // namespace dragonflyglade
