#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "measure/model/crash_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr int kDraws = 20;

struct Scenario {
  std::string name;
  CrashFleetOptions options;
};

// The sums and worst values of several draws.
void PrintResults(const std::string& name, const CrashFleetOptions& options,
                  std::uint64_t first_seed) {
  CrashFleetResult sum;
  absl::Duration slowest;
  int most_crashes = 0;
  for (int draw = 0; draw < kDraws; ++draw) {
    CrashFleetOptions drawn = options;
    drawn.seed = first_seed + draw;
    const CrashFleetResult result = CrashFleet(drawn).Run();
    sum.crashes += result.crashes;
    sum.late += result.late;
    sum.innocents += result.innocents;
    sum.served += result.served;
    sum.bytes_per_second += result.bytes_per_second;
    most_crashes = std::max(most_crashes, result.crashes);
    slowest =
        std::max(slowest, result.until_refused.value_or(absl::ZeroDuration()));
  }
  PrintFigure(name + ".crashes", static_cast<double>(sum.crashes) / kDraws, "");
  PrintFigure(name + ".most_crashes", most_crashes, "");
  PrintFigure(name + ".late_requests", sum.late, "in all draws");
  PrintFigure(name + ".innocents", sum.innocents, "in all draws");
  PrintFigure(name + ".served", sum.served / kDraws, "share");
  PrintFigure(name + ".bytes", sum.bytes_per_second / kDraws, "B/s");
  PrintFigure(name + ".until_refused", absl::ToDoubleSeconds(slowest), "s");
}

std::vector<Scenario> Scenarios(const MeasureOptions& options) {
  const std::vector<std::pair<std::string, CrashPolicy>> policies = {
      {"nothing", CrashPolicy::kNothing},
      {"three_crashes", CrashPolicy::kThreeCrashes},
      {"answered_since", CrashPolicy::kAnsweredSince},
      {"share", CrashPolicy::kShare}};
  std::vector<Scenario> scenarios;
  for (const auto& [name, policy] : policies) {
    if (!options.baseline.empty() && options.baseline != name) continue;
    CrashFleetOptions calm;
    calm.policy = policy;
    CrashFleetOptions fast = calm;
    fast.crashing_per_second = 8;
    CrashFleetOptions killed = calm;
    killed.kills = CrashKills::kTenthEachSecond;
    CrashFleetOptions all_killed = calm;
    all_killed.kills = CrashKills::kAllOnce;
    CrashFleetOptions domain = calm;
    domain.crashing_per_second = 0;
    domain.domain_share = 1.0 / 3;
    CrashFleetOptions all_crash = domain;
    all_crash.domain_share = 1;
    scenarios.push_back({name + ".calm", calm});
    scenarios.push_back({name + ".fast", fast});
    scenarios.push_back({name + ".tenth_killed", killed});
    scenarios.push_back({name + ".all_killed", all_killed});
    scenarios.push_back({name + ".domain_crashes", domain});
    scenarios.push_back({name + ".all_targets_crash", all_crash});
  }
  return scenarios;
}

}  // namespace

void MeasureCrashes(const MeasureOptions& options) {
  const std::vector<int> sizes =
      options.instances > 0
          ? std::vector<int>{static_cast<int>(options.instances)}
          : std::vector<int>{6, 82, 300};
  for (const int size : sizes) {
    for (Scenario& scenario : Scenarios(options)) {
      scenario.options.instances = size;
      PrintResults(fmt::format("crashes.{}.{}", size, scenario.name),
                   scenario.options, options.seed);
    }
  }
}

}  // namespace dragonflyglade
