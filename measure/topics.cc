#include "measure/topics.h"

#include <fmt/format.h>

namespace dragonflyglade {

void PrintFigure(std::string_view name, double value, std::string_view unit) {
  fmt::print("{} {:.6g} {}\n", name, value, unit);
}

const std::map<std::string, MeasureTopic>& MeasureTopics() {
  static const auto& topics = *new std::map<std::string, MeasureTopic>{
      {"limits", MeasureLimits},         {"config", MeasureConfig},
      {"membership", MeasureMembership}, {"routing", MeasureRouting},
      {"fairness", MeasureFairness},     {"placement", MeasurePlacement},
      {"capacity", MeasureCapacity},     {"once", MeasureOnce},
  };
  return topics;
}

}  // namespace dragonflyglade
