#ifndef DRAGONFLYGLADE_TESTS_SOAK_SIMULATED_CALLER_H_
#define DRAGONFLYGLADE_TESTS_SOAK_SIMULATED_CALLER_H_

#include <atomic>
#include <random>
#include <string>

#include "absl/time/time.h"
#include "tests/soak/connection.h"
#include "tests/soak/guarantee_checker.h"
#include "tests/soak/world.h"

namespace dragonflyglade::soak {

/// A connection to an instance and the faults of that instance since the
/// connection was last used. Records requests and responses with the checker.
class Session {
 public:
  Session(const World& world, GuaranteeChecker& checker, int index);

  bool Open() const { return this->connection.Open(); }

  /// @param pause time to wait in the middle of the request head
  /// @return the status of the response, 0 without one
  int Call(const std::string& id, RequestKind kind,
           absl::Duration pause = absl::ZeroDuration());

 private:
  const World& world;
  GuaranteeChecker& checker;
  const int index;
  /// At the last use of the connection, or when it was opened.
  FaultCounts faults_before;
  Connection connection;
};

/// A caller that sends random requests. For use by one thread.
class SimulatedCaller {
 public:
  /// @param random source for instances, requests and pauses
  /// @param number of the caller, part of its request ids
  SimulatedCaller(const World& world, GuaranteeChecker& checker,
                  std::mt19937 random, int number);

  /// Sends up to twenty requests on each connection, without pauses between
  /// them.
  void RunBusy(const std::atomic<bool>& stop);

  /// Uses each connection until it is closed, with idle times up to the timeout
  /// for which instances guarantee to keep it open, some of them near the
  /// limit. Sends some request heads slowly.
  void RunWithIdleTimes(const std::atomic<bool>& stop);

 private:
  Session Connect();
  std::string NextId();
  RequestKind RandomKind();
  absl::Duration IdleTime();
  absl::Duration HeadPause();

  const World& world;
  GuaranteeChecker& checker;
  std::mt19937 random;
  const int number;
  int count = 0;
};

/// Returns a uniformly distributed number from `min` to `max`, inclusive.
int UniformInt(std::mt19937& random, int min, int max);

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_SIMULATED_CALLER_H_
