#include <fmt/format.h>

#include <utility>

#include "measure/model/serving_fleet.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr int kSeeds = 3;

struct NamedPolicy {
  const char* name;
  RoutingPolicy policy;
};
constexpr NamedPolicy kPolicies[] = {
    {"book", RoutingPolicy::kRegistry},
    {"round_robin", RoutingPolicy::kRoundRobin},
    {"two_choices", RoutingPolicy::kTwoChoices},
    {"least_reported", RoutingPolicy::kLeastReported}};
struct NamedFault {
  const char* name;
  TargetFault fault;
};
constexpr NamedFault kFaults[] = {{"none", TargetFault::kNone},
                                  {"one_slow", TargetFault::kSlow},
                                  {"one_silent", TargetFault::kUnresponsive},
                                  {"one_refusing", TargetFault::kRefusing},
                                  {"third_gone", TargetFault::kThirdRefusing}};

// Sums the results of kSeeds runs with consecutive seeds. The longest batch
// wait is the maximum over the runs.
ServingResult RunSeeds(const MeasureOptions& options, ServingRun run) {
  ServingResult total;
  for (int i = 0; i < kSeeds; ++i) {
    run.seed = options.seed + static_cast<std::uint64_t>(i);
    const ServingResult result = ServingFleet(run).Run();
    total.requests += result.requests;
    total.in_time += result.in_time;
    total.lost += result.lost;
    total.over_rate += result.over_rate;
    total.attempts += result.attempts;
    total.prefix_hits += result.prefix_hits;
    for (const auto& [workspace, counts] : result.by_workspace) {
      total.by_workspace[workspace].first += counts.first;
      total.by_workspace[workspace].second += counts.second;
    }
    for (const auto& [kind, counts] : result.by_class) {
      total.by_class[kind].first += counts.first;
      total.by_class[kind].second += counts.second;
    }
    total.longest_batch_wait =
        std::max(total.longest_batch_wait, result.longest_batch_wait);
  }
  return total;
}

double Percent(const std::pair<int, int>& counts) {
  return 100.0 * counts.first / std::max(1, counts.second);
}

}  // namespace

void MeasureRouting(const MeasureOptions& options) {
  for (const NamedFault& fault : kFaults) {
    for (const int lag : {0, 1, 5}) {
      for (const NamedPolicy& policy : kPolicies) {
        if (!options.baseline.empty() && options.baseline != policy.name)
          continue;
        ServingRun run;
        if (options.instances != 0) run.instances = options.instances;
        run.routing = policy.policy;
        run.fault = fault.fault;
        run.report_lag = absl::Seconds(lag);
        run.load = 0.85;
        const ServingResult result = RunSeeds(options, run);
        const std::string name =
            fmt::format("routing.{}.lag{}s.{}", fault.name, lag, policy.name);
        PrintFigure(name + ".in_time", 100 * result.Attained(), "%");
        PrintFigure(name + ".prefix_hits",
                    100.0 * result.prefix_hits / result.requests, "%");
        PrintFigure(name + ".attempts",
                    static_cast<double>(result.attempts) / result.requests,
                    "per_request");
        PrintFigure(name + ".lost", 100.0 * result.lost / result.requests, "%");
      }
    }
  }
}

void MeasureFairness(const MeasureOptions& options) {
  for (const QueuePolicy policy : {QueuePolicy::kFair, QueuePolicy::kFifo}) {
    const char* policy_name = policy == QueuePolicy::kFair ? "fair" : "fifo";
    if (!options.baseline.empty() && options.baseline != policy_name) continue;
    for (const auto& [excess_factor, limited] :
         {std::pair<double, bool>{1, true}, {8, true}, {8, false}}) {
      ServingRun run;
      run.limited = limited;
      run.queue = policy;
      run.excess_factor = excess_factor;
      run.load = 0.6;
      const ServingResult result = RunSeeds(options, run);
      const std::string name =
          fmt::format("fairness.{}.pressure{}{}", policy_name, excess_factor,
                      limited ? "" : "_unlimited");
      for (const auto& [workspace, counts] : result.by_workspace) {
        PrintFigure(fmt::format("{}.{}.in_time", name, workspace),
                    Percent(counts), "%");
      }
      for (const auto& [kind, counts] : result.by_class) {
        PrintFigure(fmt::format("{}.{}.in_time", name,
                                NameOf(static_cast<RequestClass>(kind))),
                    Percent(counts), "%");
      }
      PrintFigure(name + ".worst_over_best", result.WorstOverBest(), "ratio");
      PrintFigure(name + ".longest_batch_wait",
                  absl::ToDoubleSeconds(result.longest_batch_wait), "s");
    }
  }
}

}  // namespace dragonflyglade
