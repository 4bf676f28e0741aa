// Three threads share the rate of one workspace. Each has a rate limiter that
// owns a third of the rate and borrows from the others when its own tokens are
// used up. Prints the number of admitted requests and exits with 0 if at least
// one was admitted and their tokens stayed within burst + rate * time.

#include <dragonflyglade/decision/allotment.h>
#include <dragonflyglade/decision/clock.h>
#include <dragonflyglade/decision/distributed_rate_limiter.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "absl/time/clock.h"

namespace {

using dragonflyglade::Admission;
using dragonflyglade::Admitted;
using dragonflyglade::Allotment;
using dragonflyglade::BorrowFromPeer;
using dragonflyglade::Clock;
using dragonflyglade::DistributedRateLimiter;
using dragonflyglade::kFullShareMillionths;
using dragonflyglade::OwnerShare;
using dragonflyglade::RateLimit;
using dragonflyglade::RateLimiterOptions;
using dragonflyglade::SteadyClock;
using dragonflyglade::WaitFor;

constexpr const char* kWorkspace = "printers";
constexpr double kTokensPerSecond = 3000;
constexpr double kBurstTokens = 600;
constexpr double kRequestTokens = 50;
constexpr absl::Duration kMaxWait = absl::Milliseconds(100);
constexpr absl::Duration kRunTime = absl::Seconds(1);

using Limiters = std::map<std::string, std::unique_ptr<DistributedRateLimiter>>;

// Charges one request to the rate, and returns whether it is admitted. A loan
// is a direct call to the other thread's limiter; across processes it would be
// a network call.
bool Admit(Limiters& limiters, DistributedRateLimiter& own) {
  Admission admission =
      own.BeginAdmission(kWorkspace, kRequestTokens, kMaxWait);
  while (true) {
    const auto step = own.Next(admission);
    if (std::holds_alternative<Admitted>(step)) return true;
    if (const auto* borrow = std::get_if<BorrowFromPeer>(&step)) {
      own.CompleteLoan(
          admission, borrow->peer,
          limiters.at(borrow->peer)
              ->LendTokens(kWorkspace, borrow->tokens, borrow->max_wait));
    } else if (const auto* wait = std::get_if<WaitFor>(&step)) {
      absl::SleepFor(wait->delay);
    } else {
      return false;
    }
  }
}

}  // namespace

int main() {
  const Clock clock{SteadyClock{}};
  Limiters limiters;
  Allotment allotment;
  allotment.workspace = kWorkspace;
  allotment.epoch = 1;
  for (const char* name : {"one", "two", "three"}) {
    limiters[name] = std::make_unique<DistributedRateLimiter>(
        name, 1, RateLimiterOptions{}, clock);
    limiters[name]->SetRate(kWorkspace,
                            RateLimit{kTokensPerSecond, kBurstTokens});
    allotment.owners.push_back(OwnerShare{name, 1, kFullShareMillionths / 3,
                                          kFullShareMillionths / 3, 0});
  }
  for (auto& [name, limiter] : limiters) limiter->ApplyAllotment(allotment);

  const absl::Time start = absl::Now();
  std::atomic<int> admitted{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> threads;
  for (auto& [name, limiter] : limiters) {
    threads.emplace_back(
        [&limiters, &admitted, &refused, start, own = limiter.get()] {
          while (absl::Now() - start < kRunTime) {
            ++(Admit(limiters, *own) ? admitted : refused);
          }
        });
  }
  for (std::thread& thread : threads) thread.join();
  const double seconds = absl::ToDoubleSeconds(absl::Now() - start);
  const double used = admitted * kRequestTokens;
  const double bound = kBurstTokens + kTokensPerSecond * seconds;
  std::printf("admitted %d, refused %d: %.0f tokens of at most %.0f\n",
              admitted.load(), refused.load(), used, bound);
  return used <= bound && admitted > 0 ? 0 : 1;
}
