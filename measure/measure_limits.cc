#include <fmt/format.h>

#include <utility>
#include <vector>

#include "measure/model/limits_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr int kSeeds = 3;

struct NamedMode {
  const char* name;
  SharingMode mode;
};
constexpr NamedMode kModes[] = {{"borrowing", SharingMode::kBorrowing},
                                {"static_split", SharingMode::kStaticSplit},
                                {"one_owner", SharingMode::kOneOwner}};
struct NamedArrival {
  const char* name;
  ArrivalPattern arrival;
};
constexpr NamedArrival kArrivals[] = {{"even", ArrivalPattern::kEven},
                                      {"skewed", ArrivalPattern::kSkewed},
                                      {"moving", ArrivalPattern::kMoving}};

struct Scenario {
  std::string name;
  std::vector<Fault> faults;
  bool kv_unavailable = false;
};

// The share owner that is killed or paused is not the instance that receives
// skewed traffic.
std::vector<Scenario> Scenarios(std::size_t instances) {
  const std::size_t last = OwnerIndex(instances);
  return {
      {"steady", {}, false},
      {"one_killed",
       {Fault{FaultKind::kKill, absl::Seconds(20), last, {}}},
       false},
      {"one_paused",
       {Fault{FaultKind::kPause, absl::Seconds(20), last, absl::Seconds(15)}},
       false},
      {"kv_out", {}, true}};
}

void MeasureRuns(const MeasureOptions& options, const LimitsRun& base,
                 const std::string& name) {
  double refused = 0;
  double offered = 0;
  double messages = 0;
  double overshoot = -base.burst;
  for (int i = 0; i < kSeeds; ++i) {
    LimitsRun run = base;
    run.seed = options.seed + static_cast<std::uint64_t>(i);
    const LimitsResult result = LimitsFleet(run).Run();
    refused += result.refused;
    offered += result.offered;
    messages += static_cast<double>(result.messages);
    overshoot = std::max(overshoot, result.overshoot);
  }
  PrintFigure(name + ".refused_inside_rate", 100 * refused / offered, "%");
  PrintFigure(name + ".overshoot", std::max(0.0, overshoot), "tokens");
  PrintFigure(name + ".messages_per_request", messages / offered, "messages");
}

}  // namespace

void MeasureLimits(const MeasureOptions& options) {
  MeasureLimitsBytes();
  std::vector<std::size_t> sizes = {3, 6, 40, 400};
  if (options.instances != 0) sizes = {options.instances};
  for (const std::size_t size : sizes) {
    for (const NamedArrival& arrival : kArrivals) {
      if (!options.skew.empty() && options.skew != arrival.name) continue;
      for (const NamedMode& mode : kModes) {
        if (!options.baseline.empty() && options.baseline != mode.name)
          continue;
        for (const Scenario& scenario : Scenarios(size)) {
          LimitsRun run;
          run.instances = size;
          run.arrival = arrival.arrival;
          run.mode = mode.mode;
          run.faults = scenario.faults;
          run.kv_unavailable = scenario.kv_unavailable;
          MeasureRuns(options, run,
                      fmt::format("limits.{}.{}.{}.{}", size, arrival.name,
                                  mode.name, scenario.name));
        }
      }
    }
  }
}

}  // namespace dragonflyglade
