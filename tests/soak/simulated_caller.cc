#include "tests/soak/simulated_caller.h"

#include <fmt/format.h>

#include <utility>

#include "absl/time/clock.h"

namespace dragonflyglade::soak {
namespace {

constexpr const char* kKey = "secret-key-1";
// One wait in this many ends near a limit, so that the instance's timer and the
// bytes of the request race.
constexpr int kAtLimitOneIn = 3;
constexpr int kSlowHeadOneIn = 3;
// Instances close idle connections this much later than the Keep-Alive timeout
// that they state.
constexpr absl::Duration kCloseGrace = absl::Seconds(1);
constexpr int kAtCloseOneIn = 3;
constexpr int kLimitJitterMs = 15;
// Left for sending itself: a request that arrives after its limit is not
// checked.
constexpr int kSendMarginMs = 20;

int Milliseconds(absl::Duration time) {
  return static_cast<int>(absl::ToInt64Milliseconds(time));
}

absl::Duration NearLimit(std::mt19937& random, absl::Duration limit) {
  return limit + absl::Milliseconds(
                     UniformInt(random, -kLimitJitterMs, kLimitJitterMs));
}

// Returns a wait within the share of a limit that callers may use, or one near
// the limit.
absl::Duration WaitWithin(std::mt19937& random, absl::Duration limit) {
  if (UniformInt(random, 1, kAtLimitOneIn) == 1)
    return NearLimit(random, limit);
  const int usable = Milliseconds(kUsableShare * limit) - kSendMarginMs;
  return absl::Milliseconds(UniformInt(random, 0, usable));
}

}  // namespace

int UniformInt(std::mt19937& random, int min, int max) {
  return std::uniform_int_distribution<int>(min, max)(random);
}

Session::Session(const World& world, GuaranteeChecker& checker, int index)
    : world(world),
      checker(checker),
      index(index),
      faults_before(world.FaultCountsOf(index)),
      connection(world.At(index).Callers()) {}

int Session::Call(const std::string& id, RequestKind kind,
                  absl::Duration pause) {
  const FaultCounts before = this->world.FaultCountsOf(this->index);
  this->checker.RecordSent(id, kind, kKey);
  const Outcome outcome = this->connection.Call(id, kind, kKey, pause);
  this->checker.RecordOutcome(
      id, outcome, this->world.FaultSince(this->index, this->faults_before));
  this->faults_before = before;
  return outcome.status;
}

SimulatedCaller::SimulatedCaller(const World& world, GuaranteeChecker& checker,
                                 std::mt19937 random, int number)
    : world(world),
      checker(checker),
      random(std::move(random)),
      number(number) {}

Session SimulatedCaller::Connect() {
  return {this->world, this->checker,
          UniformInt(this->random, 0, this->world.Instances() - 1)};
}

std::string SimulatedCaller::NextId() {
  return fmt::format("c{}n{}", this->number, ++this->count);
}

RequestKind SimulatedCaller::RandomKind() {
  return static_cast<RequestKind>(UniformInt(this->random, 0, 3));
}

// Some waits end when instances close idle connections, which is later than the
// timeout that they state.
absl::Duration SimulatedCaller::IdleTime() {
  if (UniformInt(this->random, 1, kAtCloseOneIn) == 1) {
    return NearLimit(this->random, kMinIdleTimeout + kCloseGrace);
  }
  return WaitWithin(this->random, kMinIdleTimeout);
}

absl::Duration SimulatedCaller::HeadPause() {
  const bool slow = UniformInt(this->random, 1, kSlowHeadOneIn) == 1;
  return slow ? WaitWithin(this->random, kMinHeaderTimeout)
              : absl::ZeroDuration();
}

void SimulatedCaller::RunBusy(const std::atomic<bool>& stop) {
  while (!stop) {
    Session session = this->Connect();
    for (int i = UniformInt(this->random, 1, 20); i > 0 && session.Open();
         --i) {
      session.Call(this->NextId(), this->RandomKind());
    }
    absl::SleepFor(absl::Milliseconds(UniformInt(this->random, 0, 20)));
  }
}

void SimulatedCaller::RunWithIdleTimes(const std::atomic<bool>& stop) {
  while (!stop) {
    Session session = this->Connect();
    // A terminated instance refuses connections at once; the wait avoids a busy
    // loop.
    absl::SleepFor(absl::Milliseconds(UniformInt(this->random, 0, 20)));
    while (!stop && session.Open()) {
      absl::SleepFor(this->IdleTime());
      session.Call(this->NextId(), this->RandomKind(), this->HeadPause());
    }
  }
}

}  // namespace dragonflyglade::soak
