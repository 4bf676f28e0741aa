#include "dragonflyglade/decision/pacing_trial.h"

#include <algorithm>
#include <cstdint>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

enum class EngineGroup { kNeverDelayed, kAlwaysDelayed, kAsLearnt };

// Two of this many engines are compared.
constexpr std::uint64_t kGroups = 8;
// Streams of either kind without which nothing is known.
constexpr int kMinStreams = 30;
// Streams that the moving average covers. With fewer, chance differences often
// exceed the gain below.
constexpr int kAveragedStreams = 100;
// A delay has to pay for the postponed first outputs. Smaller differences also
// arise by chance.
constexpr double kMinGain = 0.08;

EngineGroup GroupOf(std::string_view engine) {
  constexpr std::uint64_t kSeed = 7;  // independent of the other uses
  const std::uint64_t group = StableHash(engine, kSeed) % kGroups;
  if (group == 0) return EngineGroup::kNeverDelayed;
  if (group == 1) return EngineGroup::kAlwaysDelayed;
  return EngineGroup::kAsLearnt;
}

}  // namespace

void PacingTrial::LateShare::Record(bool late) {
  this->streams = std::min(this->streams + 1, kAveragedStreams);
  this->share += ((late ? 1 : 0) - this->share) / this->streams;
}

bool PacingTrial::IsUseful() const {
  const bool known = this->with_delays.streams >= kMinStreams &&
                     this->without_delays.streams >= kMinStreams;
  if (!known) return true;
  return this->without_delays.share - this->with_delays.share > kMinGain;
}

bool PacingTrial::Delays(std::string_view engine) const {
  switch (GroupOf(engine)) {
    case EngineGroup::kNeverDelayed:
      return false;
    case EngineGroup::kAlwaysDelayed:
      return true;
    case EngineGroup::kAsLearnt:
      break;
  }
  return this->IsUseful();
}

// Engines that follow what is learnt don't count: instances may have learnt
// different things.
void PacingTrial::RecordStream(std::string_view engine, bool late) {
  const EngineGroup group = GroupOf(engine);
  if (group == EngineGroup::kNeverDelayed) this->without_delays.Record(late);
  if (group == EngineGroup::kAlwaysDelayed) this->with_delays.Record(late);
}

}  // namespace dragonflyglade
