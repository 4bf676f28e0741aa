#include <fmt/format.h>

#include <map>
#include <random>
#include <string>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/claim.h"
#include "measure/topics.h"

namespace dragonflyglade {
namespace {

constexpr int kPayouts = 20'000;
constexpr int kMaxAttempts = 6;

// The point at which an instance crashes while it serves one attempt.
enum class CrashPoint { kNone, kBeforeClaim, kAfterClaim, kAfterDispatch };

struct Counts {
  int ran_twice = 0;
  int confirmed_runs = 0;
  int unconfirmed = 0;
  int kv_calls = 0;
};

// Simulates payouts that must not run twice. Callers retry until a response
// confirms the payout or their attempts are used up, instances crash at each
// step, and responses of the key-value service and the target are lost.
class PayoutRun {
 public:
  PayoutRun(std::uint64_t seed, double loss, bool claims)
      : random(seed), loss(loss), claims(claims) {}

  Counts Run() {
    for (int i = 0; i < kPayouts; ++i) this->Payout(i);
    return this->counts;
  }

 private:
  void Payout(int number) {
    const std::string key = fmt::format("p{}", number);
    bool confirmed = false;
    for (int i = 0; i < kMaxAttempts && !confirmed; ++i)
      confirmed = this->Attempt(key);
    if (confirmed) {
      ++this->counts.confirmed_runs;
    } else {
      ++this->counts.unconfirmed;
    }
    if (this->runs[key] > 1) ++this->counts.ran_twice;
  }

  bool DrawChance(double probability) {
    return absl::Bernoulli(this->random, probability);
  }

  CrashPoint DrawCrashPoint() {
    if (!this->DrawChance(0.05)) return CrashPoint::kNone;
    return static_cast<CrashPoint>(absl::Uniform(this->random, 1, 4));
  }

  // Creates a claim record. The response may be lost after the write took
  // effect; the outcome is then unknown to the instance.
  ClaimWriteResult Create(const std::string& key, const Claim& claim) {
    ++this->counts.kv_calls;
    const auto found = this->store.find(key);
    ClaimWriteResult result = ClaimCreated{1};
    if (found != this->store.end()) {
      result = ClaimExists{found->second, 1};
    } else {
      this->store[key] = SerializeClaim(claim);
    }
    return this->DrawChance(this->loss)
               ? ClaimWriteResult(ClaimOutcomeUnknown{})
               : result;
  }

  // Returns true if the caller receives confirmation that its payout ran.
  bool Attempt(const std::string& key) {
    const CrashPoint crash = this->DrawCrashPoint();
    if (crash == CrashPoint::kBeforeClaim) return false;
    Claim claim;
    claim.nonce = fmt::format("n{}", ++this->nonces);
    claim.digest = key;
    if (this->claims) {
      ClaimStep step = RetryClaimWrite{};
      for (int i = 0; std::holds_alternative<RetryClaimWrite>(step); ++i) {
        step = DecideClaimStep(claim, this->Create(key, claim), i < 3);
      }
      if (std::holds_alternative<ReplayResponse>(step)) return true;
      if (!std::holds_alternative<DispatchCall>(step)) return false;
    }
    if (crash == CrashPoint::kAfterClaim) return false;
    ++this->runs[key];
    const bool response_lost = this->DrawChance(this->loss);
    if (crash == CrashPoint::kAfterDispatch || response_lost) return false;
    if (this->claims) {
      claim.state = ClaimState::kDone;
      this->store[key] = SerializeClaim(claim);
      ++this->counts.kv_calls;
    }
    // The response can also be lost between the instance and the caller.
    return !this->DrawChance(this->loss);
  }

  std::mt19937_64 random;
  const double loss;
  const bool claims;
  int nonces = 0;
  std::map<std::string, std::string> store;
  std::map<std::string, int> runs;
  Counts counts;
};

}  // namespace

void MeasureOnce(const MeasureOptions& options) {
  for (const double loss : {0.0, 0.02, 0.2}) {
    for (const bool claims : {true, false}) {
      const char* mode = claims ? "claims" : "plain_retries";
      if (!options.baseline.empty() && options.baseline != mode) continue;
      const Counts counts = PayoutRun(options.seed, loss, claims).Run();
      const std::string name = fmt::format("once.{}.loss{}%", mode, 100 * loss);
      PrintFigure(name + ".ran_twice", counts.ran_twice, "of_20000");
      PrintFigure(name + ".caller_knows",
                  100.0 * counts.confirmed_runs / kPayouts, "%");
      PrintFigure(name + ".left_unknown", counts.unconfirmed, "of_20000");
      PrintFigure(name + ".kv_calls",
                  static_cast<double>(counts.kv_calls) / kPayouts,
                  "per_payout");
    }
  }
}

}  // namespace dragonflyglade
