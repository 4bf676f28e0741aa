#ifndef DRAGONFLYGLADE_MEASURE_TOPICS_H_
#define DRAGONFLYGLADE_MEASURE_TOPICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflyglade {

/// What was asked for on the command line.
struct MeasureOptions {
  std::uint64_t seed = 1;
  std::size_t instances = 0;
  std::string skew;
  std::string baseline;
};

/// Prints one figure as "name value unit".
void PrintFigure(std::string_view name, double value, std::string_view unit);

/// What can be measured, and the values that its options take.
struct MeasureTopic {
  std::function<void(const MeasureOptions&)> run;
  std::vector<std::string> skews;
  std::vector<std::string> baselines;
};

/// All topics by name.
const std::map<std::string, MeasureTopic>& MeasureTopics();

void MeasureLimits(const MeasureOptions& options);
/// The bytes of a loan's messages, by the real codec.
void MeasureLimitsBytes();
void MeasureConfig(const MeasureOptions& options);
void MeasureMembership(const MeasureOptions& options);
void MeasureRouting(const MeasureOptions& options);
void MeasureFairness(const MeasureOptions& options);
void MeasureResidency(const MeasureOptions& options);
void MeasurePlacement(const MeasureOptions& options);
/// Processor time and memory of single decisions.
void MeasureCapacity(const MeasureOptions& options);
/// Calls that may not be repeated, with and without claims.
void MeasureOnce(const MeasureOptions& options);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_TOPICS_H_
