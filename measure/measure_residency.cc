#include <fmt/format.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "dragonflyglade/decision/residency_planner.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

// A fleet of engines with all its models placed.
struct Size {
  int engines = 0;
  int models = 0;
  int adapters = 0;  ///< asked for now
};

struct Placed {
  std::vector<DemandedModel> models;
  std::vector<DemandedAdapter> adapters;
  std::vector<EngineResidency> engines;
};

Placed Place(const Size& size, std::mt19937& random) {
  constexpr int kModelsOfEngine = 3;
  std::uniform_real_distribution<double> load(0, 0.4);
  Placed placed;
  for (int i = 0; i < size.models; ++i) {
    DemandedModel model;
    model.name = fmt::format("model-{}", i);
    model.memory_mb = 60000;
    model.adapter_mb = 40;
    model.load = load(random);
    placed.models.push_back(model);
  }
  for (int i = 0; i < size.engines; ++i) {
    EngineResidency engine;
    engine.id = fmt::format("i-{:010x}", random());
    engine.memory_mb = 200000;
    engine.adapter_slots = 5;
    for (int j = 0; j < kModelsOfEngine; ++j) {
      engine
          .models[placed.models[(i * kModelsOfEngine + j) % size.models].name];
    }
    placed.engines.push_back(std::move(engine));
  }
  for (int i = 0; i < size.adapters; ++i) {
    const std::string& model = placed.models[i % size.models].name;
    placed.adapters.push_back(
        {model, fmt::format("a{}", i / size.models), load(random) / 10, 0});
  }
  return placed;
}

}  // namespace

void MeasureResidency(const MeasureOptions& options) {
  const std::vector<Size> sizes = {
      {18, 21, 100}, {60, 74, 290}, {90, 156, 450}, {475, 500, 2000}};
  for (const Size& size : sizes) {
    std::mt19937 random(static_cast<unsigned>(options.seed));
    const Placed placed = Place(size, random);
    ResidencyPlanner planner{ResidencyOptions(), Clock(SteadyClock())};
    constexpr int kRounds = 20;
    const auto begun = std::chrono::steady_clock::now();
    for (int round = 0; round < kRounds; ++round) {
      planner.Plan(placed.models, placed.adapters, placed.engines, 4);
    }
    const std::chrono::duration<double, std::milli> taken =
        std::chrono::steady_clock::now() - begun;
    PrintFigure(fmt::format("residency.round.engines_{}", size.engines),
                taken.count() / kRounds, "ms");
  }
}

}  // namespace dragonflyglade
