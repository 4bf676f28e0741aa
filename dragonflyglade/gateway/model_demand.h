#ifndef DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_
#define DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_

#include <compare>
#include <functional>
#include <map>
#include <string>

namespace dragonflyglade::gateway {

/// A model of a service, or an adapter of it.
struct ModelName {
  std::string service;
  std::string model;
  std::string adapter;  ///< empty: the model itself

  auto operator<=>(const ModelName&) const = default;
};

/// What callers asked of one model or adapter since the last report.
struct DemandCount {
  double requests = 0;
  double work_ms = 0;  ///< of an engine's time
  int waiting = 0;     ///< requests that wait now because it is nowhere
};

/// Which models and adapters callers ask for. One event loop.
class ModelDemand {
 public:
  using Counts = std::map<ModelName, DemandCount>;

  /// A request for it came.
  void Asked(const ModelName& name, double work_ms);

  /// A request begins or ceases to wait for it. The first one to wait calls
  /// the wake-up, so that the news need not wait for the next report.
  void BeginWait(const ModelName& name);
  void EndWait(const ModelName& name);

  void OnFirstWait(std::function<void()> wake) { this->wake = std::move(wake); }

  /// The counts since the last call; waits stay.
  Counts Take();

 private:
  Counts counts;
  std::function<void()> wake;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_
