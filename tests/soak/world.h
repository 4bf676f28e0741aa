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
#include "tests/soak/guarantee_checker.h"
#include "tests/standins/faulty_tcp_proxy.h"

namespace dragonflyglade::soak {

/// One gateway process, with a proxy between it and the store.
struct Instance {
  std::string name;
  int first_port = 0;  ///< for callers; the next four are the other listeners
  std::string settings_file;
  std::string log_file;
  std::unique_ptr<FaultyTcpProxy> store_proxy;
  Endpoint store;
  std::unique_ptr<Process> process;
  // Both count changes of state: `ends` is odd while the process does not run
  // or may not run, `pauses` is odd while it is paused.
  std::atomic<int> ends = 1;
  std::atomic<int> pauses = 0;

  Endpoint Callers() const { return {"127.0.0.1", this->first_port}; }
};

/// A target that responds correctly or with a random fault, behind a proxy.
struct Target {
  std::string id;
  std::unique_ptr<PlatformTargetStandIn> stand_in;
  std::unique_ptr<FaultyTcpProxy> proxy;
  Endpoint address;
  std::atomic<double> failure_rate = 0;
  std::atomic<double> decline_rate = 0;
  std::atomic<double> extra_rate = 0;  ///< of responses that another follows
};

/// An instance's counters of state changes at one point in time.
struct FaultCounts {
  int ends = 0;
  int pauses = 0;
};

/// Runs gateways, targets and a store, and injects faults into them.
class World {
 public:
  /// @param program the gateway's binary
  /// @param directory for settings and logs
  World(std::string program, std::string directory, unsigned seed,
        int instances, GuaranteeChecker& checker);
  ~World();

  int Instances() const { return static_cast<int>(this->instances.size()); }
  const Instance& At(int index) const { return *this->instances[index]; }
  FaultCounts FaultCountsOf(int index) const;
  /// The worst fault of an instance since `before`.
  InstanceFault FaultSince(int index, const FaultCounts& before) const;

  void Start(int index, bool first);
  void Kill(int index);
  /// Stops an instance with SIGTERM, waits until it exited, and starts it
  /// again.
  void Restart(int index);
  void Reload(int index);
  void Pause(int index);
  void Resume(int index);
  FaultyTcpProxy& StoreProxy(int index) {
    return *this->instances[index]->store_proxy;
  }
  FaultyTcpProxy& TargetProxy(int index) {
    return *this->targets[index]->proxy;
  }
  int Targets() const { return static_cast<int>(this->targets.size()); }
  void SetFailureRate(int index, double failure_rate) {
    this->targets[index]->failure_rate = failure_rate;
  }
  /// @param decline_rate share of requests that the target declines
  /// @param extra_rate share of its responses that bytes of a response follow
  ///     which answers no request
  void SetRepeats(int index, double decline_rate, double extra_rate) {
    this->targets[index]->decline_rate = decline_rate;
    this->targets[index]->extra_rate = extra_rate;
  }
  void PutTarget(int index, const std::string& state);
  void RemoveTarget(int index);
  /// Writes the next version of the configuration, with other timeouts, limits
  /// and routes.
  void PutConfig();
  /// Ends the leases whose TTL has passed.
  void ExpireLeases() { this->store.ExpireLeases(); }

 private:
  PlatformTargetStandIn::Script Respond(Target& target,
                                        const RawRequest& request);
  PlatformTargetStandIn::Script RespondOnce(Target& target,
                                            const RawRequest& request);
  void AddExtra(const RawRequest& request,
                PlatformTargetStandIn::Script& script);
  double Draw();
  void WaitUntilListening(const Instance& instance) const;
  void CheckRunning(const Instance& instance) const;
  void WriteSettings(const Instance& instance, bool first);

  const std::string program;
  const std::string directory;
  GuaranteeChecker& checker;
  absl::Mutex mutex;
  std::mt19937 random ABSL_GUARDED_BY(mutex);
  PlatformStoreStandIn store;
  absl::Mutex config_mutex;  ///< makes versions reach the store in order
  int version ABSL_GUARDED_BY(config_mutex) = 0;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<Instance>> instances;
};

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_WORLD_H_
