#include <fmt/format.h>

#include <utility>
#include <vector>

#include "measure/model/limits_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr int kSeeds = 3;

struct NamedWay {
  const char* name;
  SharingWay way;
};
constexpr NamedWay kWays[] = {{"borrowing", SharingWay::kBorrowing},
                              {"static_split", SharingWay::kStaticSplit},
                              {"one_owner", SharingWay::kOneOwner}};
struct NamedArrival {
  const char* name;
  Arrival arrival;
};
constexpr NamedArrival kArrivals[] = {{"even", Arrival::kEven},
                                      {"skewed", Arrival::kSkewed},
                                      {"moving", Arrival::kMoving}};

struct Scenario {
  std::string name;
  std::vector<Fault> faults;
  bool kv_out = false;
};

// The holder that dies or pauses is one that skewed traffic does not go to.
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

void MeasureOne(const MeasureOptions& options, const LimitsRun& base,
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
      for (const NamedWay& way : kWays) {
        if (!options.baseline.empty() && options.baseline != way.name) continue;
        for (const Scenario& scenario : Scenarios(size)) {
          LimitsRun run;
          run.instances = size;
          run.arrival = arrival.arrival;
          run.way = way.way;
          run.faults = scenario.faults;
          run.kv_out = scenario.kv_out;
          MeasureOne(options, run,
                     fmt::format("limits.{}.{}.{}.{}", size, arrival.name,
                                 way.name, scenario.name));
        }
      }
    }
  }
}

}  // namespace dragonflyglade
