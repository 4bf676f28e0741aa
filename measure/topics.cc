#include "measure/topics.h"

#include <fmt/format.h>

namespace dragonflyglade {

void PrintFigure(std::string_view name, double value, std::string_view unit) {
  fmt::print("{} {:.6g} {}\n", name, value, unit);
}

const std::map<std::string, MeasureTopic>& MeasureTopics() {
  static const auto& topics = *new std::map<std::string, MeasureTopic>{
      {"limits",
       {MeasureLimits,
        {"even", "skewed", "moving"},
        {"borrowing", "static_split", "one_owner"}}},
      {"config", {MeasureConfig, {}, {}}},
      {"membership", {MeasureMembership, {}, {}}},
      {"routing",
       {MeasureRouting,
        {},
        {"book", "round_robin", "two_choices", "least_reported"}}},
      {"fairness", {MeasureFairness, {}, {"fair", "fifo"}}},
      {"placement", {MeasurePlacement, {}, {}}},
      {"residency", {MeasureResidency, {}, {}}},
      {"capacity", {MeasureCapacity, {}, {}}},
      {"crashes",
       {MeasureCrashes,
        {},
        {"nothing", "three_crashes", "answered_since", "share"}}},
      {"repeats", {MeasureRepeats, {}, {"nothing", "held_back"}}},
      {"once", {MeasureOnce, {}, {"claims", "plain_retries"}}},
  };
  return topics;
}

}  // namespace dragonflyglade
