#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_TWO_INSTANCES_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_TWO_INSTANCES_H_

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "dragonflyglade/gateway/gateway.h"
#include "tests/platform/gateway_harness.h"
#include "tests/platform/path_stand_in.h"

namespace dragonflyglade {

/// Two instances in front of two targets. The paths from each instance to the
/// targets can be cut.
class TwoInstances {
 public:
  using Paths = std::vector<std::unique_ptr<PathStandIn>>;

  explicit TwoInstances(
      PlatformTargetStandIn::Answer answer = SuccessfulResponse);
  /// @param one, two how the targets answer
  TwoInstances(PlatformTargetStandIn::Answer one,
               PlatformTargetStandIn::Answer two);
  ~TwoInstances();
  TwoInstances(const TwoInstances&) = delete;
  TwoInstances& operator=(const TwoInstances&) = delete;

  static void Set(const Paths& paths, PathState state);

  /// Cuts the first instance off, and waits until it has noticed.
  void Isolate();

  /// Ends the second instance's event loop, and waits until Run has returned.
  void EndSecondLoop();
  /// Ends the second instance's process.
  void StopSecond();

  GatewayHarness::Reply CallSecond(const std::string& path = "/any/");
  /// Calls the first instance, for a model unless it is empty.
  GatewayHarness::Reply Call(const std::string& model);

  bool SecondLeads();
  std::size_t RequestCount() const;

  PlatformTargetStandIn target_one;
  PlatformTargetStandIn target_two;
  const Paths first_paths;
  const Paths second_paths;
  GatewayHarness harness;
  std::unique_ptr<gateway::Gateway> second;

 private:
  std::vector<std::pair<std::string, PlatformTargetStandIn*>> Targets();
  Paths MakePaths() const;
  gateway::WireFormat WireOver(const Paths& paths);
  GatewayHarness::Options MakeOptions();

  Status ran = Done{};
  std::thread thread;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_TWO_INSTANCES_H_
