#ifndef DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_
#define DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_

#include <compare>
#include <functional>
#include <map>
#include <string>

namespace dragonflyglade::gateway {

/// Identifies a model of a service, or an adapter of the model.
struct ModelName {
  std::string service;
  std::string model;
  std::string adapter;  ///< empty: the model itself

  auto operator<=>(const ModelName&) const = default;
};

/// The demand for one model or adapter since the last report.
struct DemandCount {
  double requests = 0;
  double work_ms = 0;  ///< engine time
  int waiting = 0;     ///< requests that wait now since no target has it
};

/// Counts this instance's demand for models and adapters. Used by one event
/// loop.
class ModelDemand {
 public:
  using Counts = std::map<ModelName, DemandCount>;

  /// Counts a request for the model or adapter.
  void AddRequest(const ModelName& name, double work_ms);

  /// Counts a request that starts to wait for the model or adapter. When the
  /// count rises from zero, the OnFirstWait callback is called, so that the
  /// demand is reported without delay.
  void BeginWait(const ModelName& name);
  void EndWait(const ModelName& name);

  void OnFirstWait(std::function<void()> callback) {
    this->on_first_wait = std::move(callback);
  }

  /// Returns the counts since the last call and resets them, except for the
  /// numbers of waiting requests.
  Counts DrainCounts();

 private:
  Counts counts;
  std::function<void()> on_first_wait;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_
