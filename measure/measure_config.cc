#include <fmt/format.h>

#include "measure/model/membership_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr double kChangesPerDay = 1200;
constexpr double kSecondsPerDay = 86'400;
constexpr int kRelays = 2;
constexpr double kRereadsPerSecond = 1;
// A watch is one long-polling call that is always open; it counts as one call
// per second.
constexpr double kCallsPerRelayAndSecond = 1 + kRereadsPerSecond;

}  // namespace

// Measures how long a configuration change takes to reach all instances, and
// computes the call rate at the key-value service when only relay instances
// watch it and when every instance does.
void MeasureConfig(const MeasureOptions& options) {
  std::vector<std::size_t> sizes = {6, 40, 400};
  if (options.instances != 0) sizes = {options.instances};
  for (const std::size_t size : sizes) {
    MembershipRun run;
    run.instances = size;
    run.seed = options.seed;
    run.length = absl::Seconds(60);
    run.kill_at = absl::InfiniteDuration();
    const MembershipResult result = MembershipFleet(run).Run();
    const std::string name = fmt::format("config.{}", size);
    PrintFigure(name + ".news_everywhere_after",
                absl::ToDoubleSeconds(result.update_everywhere_after), "s");
    PrintFigure(name + ".relays.kv_calls", kRelays * kCallsPerRelayAndSecond,
                "per_second");
    PrintFigure(name + ".everybody_watches.kv_calls",
                static_cast<double>(size) * kCallsPerRelayAndSecond,
                "per_second");
    PrintFigure(name + ".pulls",
                static_cast<double>(size) * kChangesPerDay / kSecondsPerDay,
                "per_second_in_all");
  }
}

}  // namespace dragonflyglade
