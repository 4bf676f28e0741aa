#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "dragonflyglade/decision/run_backup.h"

namespace dragonflyglade {
namespace {

constexpr double kNan = std::numeric_limits<double>::quiet_NaN();

Instant At(double ms) { return absl::Milliseconds(ms); }

class RunBackupTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunBackupTest);
  CPPUNIT_TEST(CopiesOnlyWhatIsDearer);
  CPPUNIT_TEST(KeepsToTheShareOfAnEngine);
  CPPUNIT_TEST(CountsCopiesUntilTheyAreFreed);
  CPPUNIT_TEST(LimitsCopiesInASecond);
  CPPUNIT_TEST(ContinuesOnlyWhatMayContinue);
  CPPUNIT_TEST(WaitsForSilentEngines);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against copies that take longer than the work that they save, and
  // against malformed figures of a configuration.
  void CopiesOnlyWhatIsDearer() {
    struct Case {
      std::string name;
      BackupRun run;
      BackupCosts costs;
      bool worthwhile;
    };
    // 100,000 bytes a token over 25 Gbit/s: 0.032 ms a token.
    const BackupCosts usual = {100000, 25000};
    const std::vector<Case> cases = {
        {"chat", {600, 0, 240, false}, usual, true},
        {"nothing known of the run", {0, 0, 0, false}, usual, false},
        {"nothing known of the costs", {600, 0, 240, false}, {}, true},
        {"slow link", {600, 0, 240, false}, {100000, 1000}, false},
        {"long prompt, slow link",
         {40000, 0, 10, false},
         {300000, 25000},
         false},
        {"not a number", {600, 0, 240, false}, {kNan, kNan, kNan}, true},
        {"negative", {600, 0, 240, false}, {-1, -1, -1}, true},
        {"short and repeatable", {600, 0, 240, true}, usual, false},
        {"long and repeatable", {40000, 0, 240, true}, usual, true},
        {"long and repeatable, slow link",
         {40000, 0, 240, true},
         {100000, 10000},
         false},
        {"a quarter of the memory", {600, 0, 400, false}, {0, 0, 4000}, true},
        {"more", {600, 0, 401, false}, {0, 0, 4000}, false},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.worthwhile,
                                   IsBackupWorthwhile(item.run, item.costs));
    }
  }

  // Guards against copies that take the place of runs.
  void KeepsToTheShareOfAnEngine() {
    struct Case {
      std::string name;
      BackupEngine engine;
      int instances;
      double capacity;
      int copies;  ///< of 100 tokens
    };
    const std::vector<Case> cases = {
        {"alone", {"e", 16, 0}, 1, 0, 4},
        {"two instances", {"e", 16, 0}, 2, 0, 2},
        {"many instances", {"e", 16, 0}, 400, 0, 1},
        {"no instance known", {"e", 16, 0}, 0, 0, 4},
        {"one slot", {"e", 1, 0}, 1, 0, 1},
        {"one slot, taken", {"e", 1, 1}, 1, 0, 0},
        {"no slot", {"e", 0, 0}, 1, 0, 0},
        {"negative", {"e", -5, 0}, 1, 0, 0},
        {"busy", {"e", 16, 14}, 1, 0, 2},
        {"full", {"e", 16, 16}, 1, 0, 0},
        {"small memory", {"e", 16, 0}, 1, 1200, 3},
    };
    for (const Case& item : cases) {
      RunBackups backups;
      const BackupCosts costs = {0, 0, item.capacity};
      int copies = 0;
      while (copies < 50 &&
             backups.HasRoom(item.engine, 100, costs, item.instances, At(0))) {
        backups.RecordAsked(item.engine.id, 100, At(0));
        copies += 1;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.copies, copies);
    }
  }

  // Guards against copies that are counted for ever, or not while the engine
  // still holds them.
  void CountsCopiesUntilTheyAreFreed() {
    RunBackups backups;
    const BackupEngine engine = {"e", 8, 0};  // room for two copies
    const auto has_room = [&](double ms) {
      return backups.HasRoom(engine, 100, {}, 1, At(ms));
    };
    backups.RecordAsked("e", 100, At(0));
    backups.RecordAsked("e", 100, At(0));
    CPPUNIT_ASSERT(!has_room(0));
    backups.RecordEnded("e", 100, At(5000));  // failed: kept for a time
    CPPUNIT_ASSERT(!has_room(100));
    backups.RecordEnded("e", 100, At(200));  // succeeded
    CPPUNIT_ASSERT(!has_room(199));
    CPPUNIT_ASSERT(has_room(200));
    backups.RecordAsked("e", 100, At(200));
    CPPUNIT_ASSERT(!has_room(4999));
    CPPUNIT_ASSERT(has_room(5000));
    backups.RecordEnded("unknown", 100, At(0));
  }

  // Guards against an instance that starts too many transfers at once.
  void LimitsCopiesInASecond() {
    RunBackups backups;
    int asked = 0;
    for (int ms = 0; ms < 10000; ++ms) {
      if (!backups.MayAsk(At(ms))) continue;
      backups.RecordAsked("e", 100, At(ms));
      asked += 1;
    }
    // 20 at once and 20 a second.
    CPPUNIT_ASSERT(asked > 200 && asked <= 220);
  }

  // Guards against events that are missing or sent twice, and two engines that
  // work on one run.
  void ContinuesOnlyWhatMayContinue() {
    struct Case {
      std::string name;
      LostRun run;
      std::optional<absl::Duration> delay;
    };
    const absl::Duration now = absl::ZeroDuration();
    const absl::Duration later = absl::Milliseconds(400);
    const std::vector<Case> cases = {
        {"ended by the engine", {.ended_by_engine = true}, now},
        {"closed by the gateway", {}, later},
        {"answered", {.answered = true}, std::nullopt},
        {"time is over", {.timed_out = true}, std::nullopt},
        {"continued before",
         {.continued = true, .ended_by_engine = true},
         std::nullopt},
        {"events without ids",
         {.ended_by_engine = true, .has_output = true},
         std::nullopt},
        {"events with ids",
         {.ended_by_engine = true, .has_output = true, .has_last_event = true},
         now},
        {"isolated", {.isolated = true}, std::nullopt},
        {"isolated, repeatable",
         {.isolated = true, .may_be_repeated = true},
         later},
        {"isolated, ended by the engine",
         {.ended_by_engine = true, .isolated = true},
         now},
    };
    for (const Case& item : cases) {
      CPPUNIT_ASSERT_MESSAGE(item.name,
                             DelayBeforeContinuation(item.run) == item.delay);
    }
  }

  // Guards against live engines that are given up, and copies that are gone
  // when an engine is given up.
  void WaitsForSilentEngines() {
    struct Case {
      std::string name;
      double longest_pause_ms;
      double copy_kept_s;
      std::optional<double> limit_ms;
    };
    const std::vector<Case> cases = {
        {"first event", 0, 0, 2000},
        {"even stream", 100, 0, 2000},
        {"uneven stream", 500, 0, 4000},
        {"long enough kept", 500, 10, 4000},
        {"kept for a shorter time", 500, 4, 3000},
        {"kept for a short time", 100, 2, 1000},
        {"gone before", 100, 1.9, std::nullopt},
        {"pauses are longer", 1500, 2, std::nullopt},
    };
    for (const Case& item : cases) {
      const std::optional<absl::Duration> limit =
          SilenceLimit(absl::Milliseconds(item.longest_pause_ms),
                       absl::Seconds(item.copy_kept_s));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, item.limit_ms.has_value(),
                                   limit.has_value());
      if (!limit.has_value()) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(item.name, *item.limit_ms,
                                   absl::ToDoubleMilliseconds(*limit));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(RunBackupTest, "unit-run-backup");

}  // namespace
}  // namespace dragonflyglade
