#include <fmt/format.h>

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "dragonflyglade/decision/residency_planner.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

// Size of a fleet of engines.
struct FleetSize {
  int engines = 0;
  int models = 0;
  int adapters = 0;  ///< with current demand
};

// Fleet whose engines already hold all models.
struct PlacedFleet {
  std::vector<DemandedModel> models;
  std::vector<DemandedAdapter> adapters;
  std::vector<EngineResidency> engines;
};

PlacedFleet MakePlacedFleet(const FleetSize& size, std::mt19937& random) {
  constexpr int kModelsPerEngine = 3;
  std::uniform_real_distribution<double> load_distribution(0, 0.4);
  PlacedFleet fleet;
  for (int i = 0; i < size.models; ++i) {
    DemandedModel model;
    model.name = fmt::format("model-{}", i);
    model.memory_mb = 60000;
    model.adapter_mb = 40;
    model.load = load_distribution(random);
    fleet.models.push_back(model);
  }
  for (int i = 0; i < size.engines; ++i) {
    EngineResidency engine;
    engine.id = fmt::format("i-{:010x}", random());
    engine.memory_mb = 200000;
    engine.adapter_slots = 5;
    for (int j = 0; j < kModelsPerEngine; ++j) {
      engine
          .models[fleet.models[(i * kModelsPerEngine + j) % size.models].name];
    }
    fleet.engines.push_back(std::move(engine));
  }
  for (int i = 0; i < size.adapters; ++i) {
    const std::string& model = fleet.models[i % size.models].name;
    fleet.adapters.push_back({model, fmt::format("a{}", i / size.models),
                              load_distribution(random) / 10, 0});
  }
  return fleet;
}

}  // namespace

void MeasureResidency(const MeasureOptions& options) {
  const std::vector<FleetSize> sizes = {
      {18, 21, 100}, {60, 74, 290}, {90, 156, 450}, {475, 500, 2000}};
  for (const FleetSize& size : sizes) {
    std::mt19937 random(static_cast<unsigned>(options.seed));
    const PlacedFleet fleet = MakePlacedFleet(size, random);
    ResidencyPlanner planner{ResidencyOptions(), Clock(SteadyClock())};
    constexpr int kRounds = 20;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < kRounds; ++round) {
      planner.Plan(fleet.models, fleet.adapters, fleet.engines, 4);
    }
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    PrintFigure(fmt::format("residency.round.engines_{}", size.engines),
                elapsed.count() / kRounds, "ms");
  }
}

}  // namespace dragonflyglade
