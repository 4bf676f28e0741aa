#ifndef DRAGONFLYGLADE_TESTS_SOAK_CALLS_H_
#define DRAGONFLYGLADE_TESTS_SOAK_CALLS_H_

#include <atomic>
#include <random>
#include <string>

#include "absl/time/time.h"
#include "tests/soak/caller.h"
#include "tests/soak/promises.h"
#include "tests/soak/world.h"

namespace dragonflyglade::soak {

/// A connection to an instance, with what befell the instance since it was last
/// used. Tells the promises what was sent and answered.
class Session {
 public:
  Session(const World& world, Promises& promises, int index);

  bool Open() const { return this->connection.Open(); }

  /// @param pause in the middle of the head
  /// @return the answer's status, 0 without one
  int Ask(const std::string& id, Kind kind,
          absl::Duration pause = absl::ZeroDuration());

 private:
  const World& world;
  Promises& promises;
  const int index;
  Harms harms;  ///< when the connection was used last, or opened
  Connection connection;
};

/// A caller. One thread.
class Calls {
 public:
  /// @param random draws instances, requests and pauses
  Calls(const World& world, Promises& promises, std::mt19937 random,
        int number);

  /// Request after request; a connection carries some twenty.
  void Hurry(const std::atomic<bool>& stop);

  /// Uses a connection until it ends, with pauses up to what instances promise
  /// to keep it for, some of them just at the limit. Sends some heads slowly.
  void Keep(const std::atomic<bool>& stop);

 private:
  Session Connect();
  std::string NextId();
  Kind AnyKind();
  absl::Duration IdleTime();
  absl::Duration HeadPause();

  const World& world;
  Promises& promises;
  std::mt19937 random;
  const int number;
  int count = 0;
};

/// A number drawn evenly, both ends included.
int Between(std::mt19937& random, int least, int most);

}  // namespace dragonflyglade::soak

#endif  // DRAGONFLYGLADE_TESTS_SOAK_CALLS_H_
