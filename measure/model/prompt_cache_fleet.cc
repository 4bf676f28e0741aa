#include "measure/model/prompt_cache_fleet.h"

#include <algorithm>
#include <list>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/cached_part_log.h"
#include "dragonflyglade/decision/engine_model.h"
#include "dragonflyglade/decision/prompt_cache_index.h"
#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade {
namespace {

constexpr int kInstances = 6;
constexpr int kModels = 4;
constexpr int kEnginesPerModel = 3;
constexpr int kParts = 20;
constexpr std::size_t kPartsPerEngine = 8;  ///< that its memory has room for
constexpr double kSharedTokens = 6300;
constexpr double kOwnTokens = 2890;
// The engines prefill for about half of the time.
constexpr double kRequestsPerSecond = 60;
constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kReportInterval = absl::Milliseconds(200);
constexpr std::size_t kPartsPerMessage = 64;

// An engine that prefills prompts in the order in which they arrive.
struct SimulatedEngine {
  std::string id;
  std::int64_t born_ms = 1;
  Instant busy_until;
  std::list<PromptPartKey> cached;  ///< least recently used first

  EngineProcess Process() const { return {this->id, this->born_ms}; }

  // Reads a shared part after all earlier prompts.
  // @return whether it was not cached
  bool Read(PromptPartKey part) {
    const std::size_t before = this->cached.size();
    this->cached.remove(part);
    const bool missed = this->cached.size() == before;
    this->cached.push_back(part);
    if (this->cached.size() > kPartsPerEngine) this->cached.pop_front();
    return missed;
  }
};

struct SimulatedInstance {
  std::string name;
  std::unique_ptr<PromptCacheIndex> index =
      std::make_unique<PromptCacheIndex>();
  CachedPartLog read;  ///< by engines, for its own requests
  std::uint64_t reported = 0;
  std::uint64_t summarized = 0;  ///< cursor of the leader
};

struct PrefillEnd {
  Instant at;
  std::size_t instance;
  std::string engine;
  std::int64_t born_ms;
  SharedPromptPart part;
};

class PromptCacheFleet {
 public:
  explicit PromptCacheFleet(const PromptCacheFleetOptions& options)
      : options(options), random(options.seed) {
    for (int i = 0; i < kInstances; ++i) {
      this->instances.emplace_back().name = "i" + std::to_string(i);
    }
    for (int i = 0; i < kModels * kEnginesPerModel; ++i) {
      this->engines.emplace_back().id = "e" + std::to_string(i);
    }
  }

  PromptCacheFleetResult Run() {
    Instant next_report = kReportInterval;
    std::poisson_distribution<int> arrivals(kRequestsPerSecond *
                                            absl::ToDoubleSeconds(kStep));
    while (this->now < this->options.time) {
      this->ApplyFaults();
      this->EndPrefills();
      for (int i = arrivals(this->random); i > 0; --i) this->SendRequest();
      if (this->now >= next_report) {
        this->ExchangeReports();
        next_report += kReportInterval;
      }
      this->now += kStep;
    }
    return this->result;
  }

 private:
  std::size_t Draw(std::size_t count) { return this->random() % count; }

  bool IsLost() {
    return std::bernoulli_distribution(this->options.lost_messages)(
        this->random);
  }

  // A fault at its time, once.
  static bool IsDue(std::optional<absl::Duration>& at, Instant now) {
    if (!at.has_value() || now < *at) return false;
    at.reset();
    return true;
  }

  void ApplyFaults() {
    if (IsDue(this->options.engine_killed_at, this->now)) {
      SimulatedEngine& killed = this->engines.front();
      killed.born_ms += 1;
      killed.busy_until = this->now;
      killed.cached.clear();
    }
    if (IsDue(this->options.instance_restarted_at, this->now)) {
      SimulatedInstance& restarted = this->instances.front();
      restarted.index = std::make_unique<PromptCacheIndex>();
      restarted.read = CachedPartLog();
      restarted.reported = 0;
    }
  }

  void SendRequest() {
    const std::size_t instance = this->Draw(kInstances);
    const std::size_t model = this->Draw(kModels);
    const std::string part_id = "p" + std::to_string(this->Draw(kParts));
    PromptPartKeys keys("m" + std::to_string(model), "");
    const SharedPromptPart part = keys.Append(part_id, kSharedTokens);
    SimulatedEngine& engine = this->Choose(instance, model, part_id, part);
    const bool missed = engine.Read(part.key);
    const double tokens = kOwnTokens + (missed ? kSharedTokens : 0);
    this->result.read_tokens += tokens;
    if (!this->ever_read.insert(part.key).second && missed) {
      this->result.reread_tokens += kSharedTokens;
    }
    engine.busy_until = std::max(engine.busy_until, this->now) +
                        absl::Milliseconds(tokens / kPrefillTokensPerMs);
    this->result.requests += 1;
    this->result.total_delay += engine.busy_until - this->now;
    this->instances[instance].index->RecordSent(
        engine.Process(), {&part, 1}, 0, kPartsPerEngine * kSharedTokens);
    this->prefills.push_back(
        {engine.busy_until, instance, engine.id, engine.born_ms, part});
  }

  SimulatedEngine& Choose(std::size_t instance, std::size_t model,
                          const std::string& part_id,
                          const SharedPromptPart& part) {
    std::vector<TargetCandidate> candidates;
    for (int i = 0; i < kEnginesPerModel; ++i) {
      const SimulatedEngine& engine =
          this->engines[model * kEnginesPerModel + i];
      TargetCandidate candidate;
      candidate.id = engine.id;
      candidate.slots = 64;
      candidate.unprocessed_prompt_tokens =
          std::max(0.0,
                   absl::ToDoubleMilliseconds(engine.busy_until - this->now)) *
          kPrefillTokensPerMs;
      if (this->options.uses_index) {
        const PromptCacheIndex& index = *this->instances[instance].index;
        candidate.cached_prefix_tokens =
            index.CachedTokens(engine.Process(), {&part, 1});
        candidate.evicted_tokens =
            index.EvictedTokens(engine.Process(), {&part, 1});
      }
      candidates.push_back(candidate);
    }
    const TargetChoiceRequest request{kSharedTokens + kOwnTokens, kSharedTokens,
                                      part_id};
    const double jitter =
        std::uniform_real_distribution<double>(0, 1)(this->random);
    const auto choice = ChooseTarget(request, candidates, jitter);
    return this->engines[model * kEnginesPerModel + choice->index];
  }

  void EndPrefills() {
    const auto ended = [this](const PrefillEnd& each) {
      if (each.at > this->now) return false;
      SimulatedInstance& instance = this->instances[each.instance];
      instance.index->RecordRead({each.engine, each.born_ms}, {&each.part, 1},
                                 true);
      instance.read.Add({each.engine, each.born_ms, each.part.key},
                        instance.name, this->now);
      return true;
    };
    this->prefills.erase(
        std::remove_if(this->prefills.begin(), this->prefills.end(), ended),
        this->prefills.end());
  }

  void ExchangeReports() {
    for (SimulatedInstance& instance : this->instances) {
      const auto parts =
          instance.read.Since(instance.reported, "", kPartsPerMessage);
      if (this->IsLost()) continue;
      for (const CachedPart& part : parts) {
        this->leader.Add(part, instance.name, this->now);
      }
      const auto others = this->leader.Since(instance.summarized, instance.name,
                                             kPartsPerMessage);
      if (this->IsLost()) continue;
      for (const CachedPart& part : others) {
        if (this->IsCurrent(part)) {
          instance.index->AddRead({part.engine, part.born_ms}, part.key);
        }
      }
    }
  }

  bool IsCurrent(const CachedPart& part) const {
    return std::any_of(this->engines.begin(), this->engines.end(),
                       [&](const SimulatedEngine& engine) {
                         return engine.id == part.engine &&
                                engine.born_ms == part.born_ms;
                       });
  }

  PromptCacheFleetOptions options;
  std::mt19937 random;
  Instant now;
  std::vector<SimulatedInstance> instances;
  std::vector<SimulatedEngine> engines;
  std::vector<PrefillEnd> prefills;  ///< in progress
  CachedPartLog leader;
  std::set<PromptPartKey> ever_read;
  PromptCacheFleetResult result;
};

}  // namespace

PromptCacheFleetResult RunPromptCacheFleet(
    const PromptCacheFleetOptions& options) {
  return PromptCacheFleet(options).Run();
}

}  // namespace dragonflyglade
