#ifndef DRAGONFLYGLADE_TESTS_SOAK_WORLD_H_
#define DRAGONFLYGLADE_TESTS_SOAK_WORLD_H_

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "tests/fleet/process.h"
#include "tests/platform/store_stand_in.h"
#include "tests/platform/target_stand_in.h"
#include "tests/soak/promises.h"
#include "tests/standins/faulty_tcp_proxy.h"

namespace dragonflyglade::soak {

/// One gateway, a process of its own. Its store is behind a relay.
struct Instance {
  std::string name;
  int first_port = 0;  ///< callers; the other four follow
  std::string settings_file;
  std::string log_file;
  std::unique_ptr<FaultyTcpProxy> store_relay;
  Endpoint store;
  std::unique_ptr<Process> process;
  // Odd while it does not run, or not for sure; odd while it is paused.
  std::atomic<int> ends = 1;
  std::atomic<int> pauses = 0;

  Endpoint Callers() const { return {"127.0.0.1", this->first_port}; }
};

/// A target that answers soundly or falls out, by chance. Behind a relay.
struct Target {
  std::string id;
  std::unique_ptr<PlatformTargetStandIn> stand_in;
  std::unique_ptr<FaultyTcpProxy> relay;
  Endpoint address;
  std::atomic<double> failure_rate = 0;
};

/// How often an instance ended, and was paused, by a moment.
struct Harms {
  int ends = 0;
  int pauses = 0;
};

/// Gateways, targets and a store, and the faults that can befall them.
class World {
 public:
  /// @param program the gateway's binary
  /// @param directory for settings and logs
  World(std::string program, std::string directory, unsigned seed,
        int instances, Promises& promises);
  ~World();

  int Instances() const { return static_cast<int>(this->instances.size()); }
  const Instance& At(int index) const { return *this->instances[index]; }
  Harms HarmsOf(int index) const;
  /// What befell an instance since a moment.
  Harm HarmSince(int index, const Harms& before) const;

  void Start(int index, bool first);
  void Kill(int index);
  /// Asks it to stop, waits for its end, and starts it again.
  void Restart(int index);
  void Reload(int index);
  void Pause(int index);
  void Resume(int index);
  FaultyTcpProxy& StoreRelay(int index) {
    return *this->instances[index]->store_relay;
  }
  FaultyTcpProxy& TargetRelay(int index) {
    return *this->targets[index]->relay;
  }
  int Targets() const { return static_cast<int>(this->targets.size()); }
  void SetFaults(int index, double share) {
    this->targets[index]->failure_rate = share;
  }
  void PutTarget(int index, const std::string& state);
  void RemoveTarget(int index);
  /// The operator writes the next version: other timeouts, limits and routes.
  void PutConfig();
  /// Leases end whose time is over.
  void ExpireLeases() { this->store.ExpireLeases(); }

 private:
  PlatformTargetStandIn::Script Answer(Target& target,
                                       const RawRequest& request);
  void AwaitListening(const Instance& instance) const;
  void CheckRuns(const Instance& instance) const;
  void WriteSettings(const Instance& instance, bool first);

  const std::string program;
  const std::string directory;
  Promises& promises;
  absl::Mutex mutex;
  std::mt19937 random ABSL_GUARDED_BY(mutex);
  PlatformStoreStandIn store;
  absl::Mutex config_mutex;  ///< versions reach the store in their order
  int version ABSL_GUARDED_BY(config_mutex) = 0;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<Instance>> instances;
};

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_WORLD_H_
