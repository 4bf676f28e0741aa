#ifndef DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_
#define DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dragonflyglade::gateway {

/// What callers asked of one model or adapter since the last report.
struct DemandCount {
  double requests = 0;
  double tokens = 0;
  int waiting = 0;  ///< requests that wait now because it is nowhere
};

/// Which models and adapters callers ask for. One event loop.
class ModelDemand {
 public:
  /// Names are "service/model" or "service/model/adapter".
  using Counts = std::map<std::string, DemandCount>;

  /// A request for it came.
  void Asked(const std::string& name, double tokens);

  /// A request begins or ceases to wait for it. The first one to wait calls
  /// the wake-up, so that the news need not wait for the next report.
  void BeginWait(const std::string& name);
  void EndWait(const std::string& name);

  void OnFirstWait(std::function<void()> wake) { this->wake = std::move(wake); }

  /// The counts since the last call; waits stay.
  Counts Take();

 private:
  Counts counts;
  std::function<void()> wake;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_MODEL_DEMAND_H_
