#include "dragonflyglade/decision/run_backup.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/target_choice.h"

namespace dragonflyglade {
namespace {

// A shorter repetition is cheaper than a copy that is seldom used.
constexpr double kExpensiveReadMs = 500;
// Of an engine's slots and memory. The rest is left to the runs themselves.
constexpr double kMaxCopyShare = 0.25;
constexpr double kMaxAskedPerSecond = 20;
// An engine notices within this time that the connection of a run is closed.
constexpr absl::Duration kEngineStopTime = absl::Milliseconds(400);
// An engine that prefills long prompts pauses for a second or two.
constexpr absl::Duration kMinSilence = absl::Seconds(2);
// An engine that becomes slow pauses for several times as long as before.
constexpr double kSilentPauses = 8;
// For the closing of the connection and the request to the second engine.
constexpr absl::Duration kContinuationTime = absl::Seconds(1);
// A shorter silence is no sign of a lost engine.
constexpr absl::Duration kShortestSilence = absl::Seconds(1);

// Malformed figures of a configuration count as not known.
double KnownOrZero(double figure) {
  return std::isfinite(figure) && figure > 0 ? figure : 0;
}

double CopyMs(double tokens, const BackupCosts& costs) {
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAndMbps = 1000;
  const double mbps = KnownOrZero(costs.link_mbps);
  if (mbps == 0) return 0;
  return tokens * KnownOrZero(costs.bytes_per_token) * kBitsPerByte /
         (mbps * kBitsPerMsAndMbps);
}

// An engine may be lost at any event, on average when half of the output is
// there. A repeated run reads that, too.
double RepeatedReadMs(const BackupRun& run) {
  return EngineWorkMs(run.prompt_tokens + run.output_tokens / 2,
                      run.shared_prefix_tokens, 0);
}

}  // namespace

bool IsBackupWorthwhile(const BackupRun& run, const BackupCosts& costs) {
  const double capacity = KnownOrZero(costs.capacity_tokens);
  if (capacity > 0 && run.Tokens() > kMaxCopyShare * capacity) return false;
  const double copy_ms = CopyMs(run.Tokens(), costs);
  if (!run.may_be_repeated) {
    return copy_ms < EngineWorkMs(run.prompt_tokens, run.shared_prefix_tokens,
                                  run.output_tokens);
  }
  const double read_ms = RepeatedReadMs(run);
  return read_ms >= kExpensiveReadMs && copy_ms < read_ms;
}

RunBackups::RunBackups() : asked(kMaxAskedPerSecond / 1000) {}

void RunBackups::RemoveFreed(Copies& copies, Instant now) {
  while (!copies.ended.empty() && copies.ended.front().freed <= now) {
    copies.count -= 1;
    copies.tokens -= copies.ended.front().tokens;
    copies.ended.pop_front();
  }
}

// The engine itself refuses what exceeds its memory, so that one copy of each
// instance is harmless even where many instances share the engine.
bool RunBackups::HasRoom(const BackupEngine& engine, double tokens,
                         const BackupCosts& costs, int instances, Instant now) {
  if (engine.requests + 1 > engine.slots) return false;
  const auto found = this->copies.find(engine.id);
  if (found == this->copies.end()) return true;
  Copies& held = found->second;
  RemoveFreed(held, now);
  if (held.count <= 0) {
    this->copies.erase(found);
    return true;
  }
  if (engine.requests + held.count + 1 > engine.slots) return false;
  const double share = kMaxCopyShare / std::max(1, instances);
  if (held.count + 1 > share * engine.slots) return false;
  const double capacity = KnownOrZero(costs.capacity_tokens);
  return capacity == 0 || held.tokens + tokens <= share * capacity;
}

bool RunBackups::MayAsk(Instant now) const {
  return this->asked.Level(now) + 1 <= kMaxAskedPerSecond;
}

void RunBackups::RecordAsked(std::string_view engine, double tokens,
                             Instant now) {
  auto found = this->copies.find(engine);
  if (found == this->copies.end()) {
    found = this->copies.emplace(std::string(engine), Copies()).first;
  }
  found->second.count += 1;
  found->second.tokens += tokens;
  this->asked.Add(1, now);
}

void RunBackups::RecordEnded(std::string_view engine, double tokens,
                             Instant freed) {
  const auto found = this->copies.find(engine);
  if (found == this->copies.end()) return;
  // Sorted by time, since copies of runs that succeeded are freed at once.
  std::deque<Ended>& ended = found->second.ended;
  const auto later = std::upper_bound(
      ended.begin(), ended.end(), freed,
      [](Instant at, const Ended& each) { return at < each.freed; });
  ended.insert(later, {freed, tokens});
}

// If this instance is isolated, its engine may go on with the run, and would
// not learn that the connection was closed.
std::optional<absl::Duration> DelayBeforeContinuation(const LostRun& run) {
  if (run.answered || run.timed_out || run.continued) return std::nullopt;
  if (run.has_output && !run.has_last_event) return std::nullopt;
  if (run.ended_by_engine) return absl::ZeroDuration();
  if (run.isolated && !run.may_be_repeated) return std::nullopt;
  return kEngineStopTime;
}

std::optional<absl::Duration> SilenceLimit(absl::Duration longest_pause,
                                           absl::Duration copy_kept) {
  const absl::Duration limit =
      std::max(kMinSilence, kSilentPauses * longest_pause);
  if (copy_kept <= absl::ZeroDuration()) return limit;
  const absl::Duration most = copy_kept - kContinuationTime;
  if (most < std::max(kShortestSilence, longest_pause)) return std::nullopt;
  return std::min(limit, most);
}

}  // namespace dragonflyglade
