#include "tests/soak/calls.h"

#include <fmt/format.h>

#include <utility>

#include "absl/time/clock.h"

namespace dragonflyglade::soak {
namespace {

constexpr const char* kKey = "secret-key-1";
// One wait in so many ends just at a limit, where the instance's timer and the
// request's bytes meet.
constexpr int kOneInAtLimit = 3;
constexpr int kOneHeadInSlow = 3;
// Instances keep idle connections for this much longer than they state.
constexpr absl::Duration kGrace = absl::Seconds(1);
constexpr int kOneInAtClose = 3;
constexpr int kAroundLimitMs = 15;
// Sending takes time too, and late requests are judged by nothing.
constexpr int kMarginMs = 20;

int Milliseconds(absl::Duration time) {
  return static_cast<int>(absl::ToInt64Milliseconds(time));
}

absl::Duration Around(std::mt19937& random, absl::Duration limit) {
  return limit +
         absl::Milliseconds(Between(random, -kAroundLimitMs, kAroundLimitMs));
}

// Within what callers may use of a limit, or around the limit.
absl::Duration Within(std::mt19937& random, absl::Duration limit) {
  if (Between(random, 1, kOneInAtLimit) == 1) return Around(random, limit);
  const int usable = Milliseconds(kUsableShare * limit) - kMarginMs;
  return absl::Milliseconds(Between(random, 0, usable));
}

}  // namespace

int Between(std::mt19937& random, int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random);
}

Session::Session(const World& world, Promises& promises, int index)
    : world(world),
      promises(promises),
      index(index),
      harms(world.HarmsOf(index)),
      connection(world.At(index).Callers()) {}

int Session::Ask(const std::string& id, Kind kind, absl::Duration pause) {
  const Harms before = this->world.HarmsOf(this->index);
  this->promises.Sent(id, kind, kKey);
  const Outcome outcome = this->connection.Ask(id, kind, kKey, pause);
  this->promises.Answered(id, outcome,
                          this->world.HarmSince(this->index, this->harms));
  this->harms = before;
  return outcome.status;
}

Calls::Calls(const World& world, Promises& promises, std::mt19937 random,
             int number)
    : world(world),
      promises(promises),
      random(std::move(random)),
      number(number) {}

Session Calls::Connect() {
  return {this->world, this->promises,
          Between(this->random, 0, this->world.Instances() - 1)};
}

std::string Calls::NextId() {
  return fmt::format("c{}n{}", this->number, ++this->count);
}

Kind Calls::AnyKind() { return static_cast<Kind>(Between(this->random, 0, 3)); }

// Some waits end where instances close, which is later than they state.
absl::Duration Calls::IdleTime() {
  if (Between(this->random, 1, kOneInAtClose) == 1) {
    return Around(this->random, kLeastIdle + kGrace);
  }
  return Within(this->random, kLeastIdle);
}

absl::Duration Calls::HeadPause() {
  const bool slow = Between(this->random, 1, kOneHeadInSlow) == 1;
  return slow ? Within(this->random, kLeastHead) : absl::ZeroDuration();
}

void Calls::Hurry(const std::atomic<bool>& stop) {
  while (!stop) {
    Session session = this->Connect();
    for (int i = Between(this->random, 1, 20); i > 0 && session.Open(); --i) {
      session.Ask(this->NextId(), this->AnyKind());
    }
    absl::SleepFor(absl::Milliseconds(Between(this->random, 0, 20)));
  }
}

void Calls::Keep(const std::atomic<bool>& stop) {
  while (!stop) {
    Session session = this->Connect();
    // Instances that are away refuse at once.
    absl::SleepFor(absl::Milliseconds(Between(this->random, 0, 20)));
    while (!stop && session.Open()) {
      absl::SleepFor(this->IdleTime());
      session.Ask(this->NextId(), this->AnyKind(), this->HeadPause());
    }
  }
}

}  // namespace dragonflyglade::soak
