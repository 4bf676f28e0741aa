#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_RESTARTED_INSTANCE_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_RESTARTED_INSTANCE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "dragonflyglade/gateway/gateway.h"
#include "tests/platform/gateway_harness.h"
#include "tests/platform/path_stand_in.h"

namespace dragonflyglade {

/// An instance that starts when all instances have been killed, with a store of
/// its own that a test fills before.
class RestartedInstance {
 public:
  /// @param answer of the targets
  explicit RestartedInstance(PlatformTargetStandIn::Answer answer);
  ~RestartedInstance();
  RestartedInstance(const RestartedInstance&) = delete;
  RestartedInstance& operator=(const RestartedInstance&) = delete;

  /// Enters a target of a software version into the store.
  /// @return its key
  std::string PutTarget(const std::string& version);

  void Start();

  /// Waits until the instance knows so many targets.
  void AwaitTargets(std::size_t count);

  /// Sends a request with a new id.
  /// @param more further header lines
  GatewayHarness::Reply Call(const std::string& method, const std::string& path,
                             const std::string& key = "k1",
                             const std::string& more = "");

  GatewayHarness harness;
  PlatformStoreStandIn store;
  PathStandIn store_path;  ///< from the instance to the store

 private:
  int targets = 0;
  std::unique_ptr<gateway::Gateway> instance;
  std::thread thread;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_RESTARTED_INSTANCE_H_
