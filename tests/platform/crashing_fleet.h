#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_CRASHING_FLEET_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_CRASHING_FLEET_H_

#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "dragonflyglade/gateway/gateway.h"
#include "tests/platform/gateway_harness.h"

namespace dragonflyglade {

/// An instance that runs on a thread of its own.
class RunningInstance {
 public:
  RunningInstance(const GatewayHarness& harness, const std::string& name);
  ~RunningInstance();
  RunningInstance(const RunningInstance&) = delete;
  RunningInstance& operator=(const RunningInstance&) = delete;

  gateway::Gateway gateway;

 private:
  std::thread thread;
};

/// Two instances in front of eight targets that requests may crash. A target
/// that has crashed comes back under another id.
class CrashingFleet {
 public:
  explicit CrashingFleet(PlatformTargetStandIn::Answer answer);

  /// Starts targets in place of those that crashed, and waits until both
  /// instances know them and no others.
  void ReplaceCrashed();

  /// Sends a request that GatewayHarness::Text formatted.
  /// @param instance 0 or 1
  GatewayHarness::Reply Send(int instance, const std::string& text);

  /// Sends a request for a model that may run once.
  GatewayHarness::Reply CallModel(int instance, const std::string& parts);

  /// Writes the target's entry as a new process at the same address does.
  void Restart(const std::string& id);

  /// The number of requests that the targets have received.
  std::size_t Requests() const;

  /// The number of targets that have crashed.
  int Crashes() const;

  /// Ends the second instance, and starts another one.
  void ReplaceSecond(const std::string& name);

  gateway::Gateway& GatewayOf(int instance);

  GatewayHarness harness;

 private:
  struct Target {
    std::string id;
    bool serves = true;
    PlatformTargetStandIn stand_in;

    Target(std::string id, PlatformTargetStandIn::Answer answer)
        : id(std::move(id)), stand_in(std::move(answer)) {}
  };

  void Add();
  void Remove(Target& target);
  int Serving() const;
  bool Knows(gateway::Gateway& instance);

  const PlatformTargetStandIn::Answer answer;
  std::vector<std::unique_ptr<Target>> targets;
  std::unique_ptr<RunningInstance> second;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_CRASHING_FLEET_H_
