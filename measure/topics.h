#ifndef DRAGONFLYGLADE_MEASURE_TOPICS_H_
#define DRAGONFLYGLADE_MEASURE_TOPICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflyglade {

/// Command-line options of the measuring program.
struct MeasureOptions {
  std::uint64_t seed = 1;
  std::size_t instances = 0;  ///< number of instances; 0: the topic's own sizes
  std::string skew;           ///< arrival pattern; empty: all
  std::string baseline;       ///< algorithm to run; empty: all
};

/// Prints one result to standard output as "name value unit".
void PrintFigure(std::string_view name, double value, std::string_view unit);

/// One benchmark and the option values that it supports.
struct MeasureTopic {
  std::function<void(const MeasureOptions&)> run;
  std::vector<std::string> skews;      ///< values of --skew
  std::vector<std::string> baselines;  ///< values of --baseline
};

/// All benchmarks by their name on the command line.
const std::map<std::string, MeasureTopic>& MeasureTopics();

/// Distributed rate limiting: wrongly refused requests, overshoot and messages.
void MeasureLimits(const MeasureOptions& options);
/// Size of the request and response of a token loan in the peer protocol.
void MeasureLimitsBytes();
/// Time to spread a configuration change, and calls to the key-value service.
void MeasureConfig(const MeasureOptions& options);
/// Failure detection: false positives, detection time, messages and bytes.
void MeasureMembership(const MeasureOptions& options);
/// Routing policies under target faults and delayed load reports.
void MeasureRouting(const MeasureOptions& options);
/// Fair queueing against FIFO when one workspace sends too much.
void MeasureFairness(const MeasureOptions& options);
/// Duration of one round of the residency planner.
void MeasureResidency(const MeasureOptions& options);
/// Placement with and without hysteresis and faults, and the planner's
/// duration.
void MeasurePlacement(const MeasureOptions& options);
/// CPU time and memory of single decisions.
void MeasureCapacity(const MeasureOptions& options);
/// Parts of prompts that crash targets: ways to find them.
void MeasureCrashes(const MeasureOptions& options);
/// Requests under which targets end, whoever repeats them.
void MeasureRepeats(const MeasureOptions& options);
/// Calls that must not run twice, with claims and with plain retries.
void MeasureOnce(const MeasureOptions& options);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_TOPICS_H_
