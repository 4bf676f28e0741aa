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
constexpr int kMostTries = 6;

// Where an entry dies while it serves one try.
enum class Death { kNone, kBeforeClaim, kAfterClaim, kAfterDispatch };

struct Counts {
  int ran_twice = 0;
  int told_done = 0;
  int left_unknown = 0;
  int never_ran = 0;
  int kv_calls = 0;
};

// Payouts whose callers try again until they are told, entries that die at
// each step, and a key-value service that loses answers.
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
    bool told = false;
    for (int i = 0; i < kMostTries && !told; ++i) told = this->Try(key);
    if (told) {
      ++this->counts.told_done;
    } else {
      ++this->counts.left_unknown;
    }
    if (this->runs[key] > 1) ++this->counts.ran_twice;
    if (this->runs[key] == 0) ++this->counts.never_ran;
  }

  bool Chance(double part) { return absl::Bernoulli(this->random, part); }

  Death DrawDeath() {
    if (!this->Chance(0.05)) return Death::kNone;
    return static_cast<Death>(absl::Uniform(this->random, 1, 4));
  }

  // One write; an answer may be lost after it took effect.
  ClaimWriteResult Create(const std::string& key, const Claim& claim) {
    ++this->counts.kv_calls;
    const auto found = this->store.find(key);
    ClaimWriteResult write = ClaimCreated{1};
    if (found != this->store.end()) {
      write = ClaimExists{found->second, 1};
    } else {
      this->store[key] = SerializeClaim(claim);
    }
    return this->Chance(this->loss) ? ClaimWriteResult(ClaimOutcomeUnknown{})
                                    : write;
  }

  // True when the caller knows that its payout ran.
  bool Try(const std::string& key) {
    const Death death = this->DrawDeath();
    if (death == Death::kBeforeClaim) return false;
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
    if (death == Death::kAfterClaim) return false;
    ++this->runs[key];
    const bool answer_lost = this->Chance(this->loss);
    if (death == Death::kAfterDispatch || answer_lost) return false;
    if (this->claims) {
      claim.state = ClaimState::kDone;
      this->store[key] = SerializeClaim(claim);
      ++this->counts.kv_calls;
    }
    // The caller's own connection may break as well.
    return !this->Chance(this->loss);
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
      const char* way = claims ? "claims" : "plain_retries";
      if (!options.baseline.empty() && options.baseline != way) continue;
      const Counts counts = PayoutRun(options.seed, loss, claims).Run();
      const std::string name = fmt::format("once.{}.loss{}%", way, 100 * loss);
      PrintFigure(name + ".ran_twice", counts.ran_twice, "of_20000");
      PrintFigure(name + ".caller_knows", 100.0 * counts.told_done / kPayouts,
                  "%");
      PrintFigure(name + ".left_unknown", counts.left_unknown, "of_20000");
      PrintFigure(name + ".kv_calls",
                  static_cast<double>(counts.kv_calls) / kPayouts,
                  "per_payout");
    }
  }
}

}  // namespace dragonflyglade
