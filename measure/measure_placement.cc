#include <fmt/format.h>

#include <chrono>

#include "measure/model/placement_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

struct FleetSize {
  const char* name;
  int targets;
  int models;
  int adapters;
};
constexpr FleetSize kUserFleets[] = {{"kilimanjaro", 20, 20, 110},
                                     {"aarwald", 20, 30, 100}};

PlacementRun RunFor(const MeasureOptions& options, const FleetSize& size) {
  PlacementRun run;
  run.seed = options.seed;
  run.targets = size.targets;
  run.models = size.models;
  run.adapters = size.adapters;
  run.adapter_bytes = 2;
  run.length = absl::Hours(2);
  run.swing = 10;
  run.tokens_per_second = 20'000;
  return run;
}

void PrintRun(const std::string& name, const PlacementRun& run) {
  const PlacementResult result = PlacementFleet(run).Run();
  PrintFigure(name + ".attained", 100 * result.attained, "%");
  PrintFigure(name + ".moves", result.moves, "loads");
  PrintFigure(name + ".reachable", 100 * result.reachable, "%");
  PrintFigure(name + ".kv_writes", static_cast<double>(result.kv_writes),
              "writes");
  PrintFigure(name + ".overcommitted", std::max(0, result.worst_over), "bytes");
}

// Prints the wall-clock duration of one planning round. The planner runs once
// per pool; the callers measure one pool and the whole fleet as a single pool.
void PrintPlannerTime(int targets, int models) {
  ManualClock manual;
  manual.Advance(absl::Hours(1));
  PlacementPlanner planner(PlannerOptions{}, Clock(&manual));
  PlannerInput input;
  for (int i = 0; i < models; ++i) {
    input.models.push_back(PlannerModel{fmt::format("m{:04}", i), "1", 220, 1});
    input.demand[input.models.back().name] = 100.0 + i;
  }
  for (int i = 0; i < targets; ++i) {
    PlannerTarget target;
    target.ledger.target = fmt::format("t{:04}", i);
    target.ledger.capacity = 1000;
    target.resident.emplace();
    for (int k = 0; k < 3; ++k) {
      LedgerCopy copy;
      copy.name = fmt::format("m{:04}", (i * 3 + k) % models);
      copy.bytes = 220;
      copy.state = CopyState::kLoaded;
      target.ledger.copies.push_back(copy);
      target.resident->insert(copy.name);
    }
    input.targets.push_back(std::move(target));
  }
  constexpr int kRounds = 5;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    manual.Advance(absl::Seconds(1));
    planner.Plan(input);
  }
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  PrintFigure(fmt::format("placement.planner.{}x{}.round", targets, models),
              1000 * seconds / kRounds, "ms");
}

}  // namespace

void MeasurePlacement(const MeasureOptions& options) {
  for (const FleetSize& size : kUserFleets) {
    PlacementRun run = RunFor(options, size);
    const std::string name = fmt::format("placement.{}", size.name);
    PrintRun(name + ".planner", run);
    PlacementRun without_hysteresis = run;
    without_hysteresis.plan.drop_after = absl::ZeroDuration();
    without_hysteresis.plan.drop_below = without_hysteresis.plan.add_above;
    PrintRun(name + ".without_hysteresis", without_hysteresis);
    PlacementRun static_run = run;
    static_run.static_placement = true;
    PrintRun(name + ".static", static_run);
    PlacementRun faulty = run;
    faulty.planners = 2;
    faulty.lost = 0.05;
    faulty.late = 0.02;
    faulty.restarts = 0.0002;
    faulty.pauses = 0.01;
    faulty.kv_out_midway = true;
    PrintRun(name + ".planner_with_faults", faulty);
  }
  PrintPlannerTime(320, 340);
  PrintPlannerTime(1900, 2000);
}

}  // namespace dragonflyglade
