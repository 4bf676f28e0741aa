#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_LOADING_ENGINES_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_LOADING_ENGINES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade {

/// Engines that carry out orders and keep the weights of the model that they
/// loaded last, and of no other, on their disk. Records when each load from the
/// weight store begins.
class LoadingEngines {
 public:
  /// How an engine treats an order whose number of orders is right.
  struct Treatment {
    bool answered = true;  ///< else it is kept for CarryOutLateOrders
    absl::Duration pause = absl::ZeroDuration();  ///< before it is carried out
  };
  /// Called with the number of orders that the engines received before.
  using Treat = std::function<Treatment(int received)>;

  /// @param disks by engine: the model on its disk at first; empty if none
  LoadingEngines(const std::vector<std::string>& disks, Treat treat);

  int Count() const { return static_cast<int>(this->engines.size()); }
  std::string Id(int engine) const;
  /// The engine's entry in the store, as of now.
  nlohmann::json Entry(int engine) const;

  /// Carries out what is kept, as far as it is still valid, and answers all
  /// that comes from now on.
  void CarryOutLateOrders();

  /// Loads from the weight store that have begun.
  int LoadsFromStore() const;
  /// The most of them that began in any span of this length.
  int MostLoadsFromStoreIn(absl::Duration span) const;

 private:
  struct Engine {
    std::unique_ptr<PlatformTargetStandIn> stand_in;
    std::int64_t orders_taken = 0;
    std::set<std::string> models;
    std::string on_disk;
    std::vector<nlohmann::json> late_orders;
  };

  PlatformTargetStandIn::Script Answer(Engine& engine,
                                       const RawRequest& request);
  PlatformTargetStandIn::Script AnswerOrder(Engine& engine,
                                            const RawRequest& request);
  bool CarryOut(Engine& engine, const nlohmann::json& order)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  nlohmann::json Holdings(const Engine& engine) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  const Treat treat;
  mutable absl::Mutex mutex;
  int received ABSL_GUARDED_BY(mutex) = 0;
  bool answers_all ABSL_GUARDED_BY(mutex) = false;
  std::vector<absl::Time> begun ABSL_GUARDED_BY(mutex);
  std::vector<std::unique_ptr<Engine>> engines;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_LOADING_ENGINES_H_
