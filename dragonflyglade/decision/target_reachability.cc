#include "dragonflyglade/decision/target_reachability.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflyglade {
namespace {

// One failed target is no evidence on the paths. Two are reason to probe
// others.
constexpr int kTargetsToDoubt = 2;
// If a quarter of the targets ended at once, four random ones have all ended in
// 1 of 256 cases. Eight must fail, so that one in 65,000 instances is wrong.
constexpr int kProbesInDoubt = 4;
constexpr int kProbesToIsolate = 8;
// On sound paths a target accepts within milliseconds. On lost ones the
// time-out of a connection attempt is much longer than callers should wait.
constexpr absl::Duration kProbeTime = absl::Milliseconds(40);
// Where all failures are refusals, probes on a lost path are refused as
// quickly; no outcome means that this process is late. Longer than the time-out
// of a connection attempt.
constexpr absl::Duration kProbeTimeAfterRefusals = absl::Milliseconds(500);
// After many targets ended, failures go on for seconds. The next doubt begins
// no sooner than this after one that a success ended; doubles with each.
constexpr absl::Duration kInitialDoubtPause = absl::Milliseconds(50);
constexpr int kMaxDoubtPauseDoublings = 3;
// Failures that lie further apart have different causes.
constexpr absl::Duration kFailureLifetime = absl::Seconds(5);
// How long a target whose connection attempt failed counts as unreachable;
// doubles with each failure in a row, so that few requests wait for the
// time-out if only the paths to some targets are lost.
constexpr absl::Duration kInitialBackoff = absl::Seconds(2);
constexpr int kMaxBackoffDoublings = 2;
// A request waits for longer than this only while its target is busy; on a lost
// path all of them do.
constexpr absl::Duration kSilenceToProbe = absl::Milliseconds(400);
// A probe is a new connection, which targets pay for. Paths that are back are
// used this much later.
constexpr absl::Duration kProbeInterval = absl::Milliseconds(500);

}  // namespace

std::vector<std::string> TargetReachability::RecordConnected(
    std::string_view target) {
  const auto refused = this->unexplained_refusals.find(target);
  if (refused != this->unexplained_refusals.end()) {
    this->unexplained_refusals.erase(refused);
  }
  const auto known = this->unreachable.find(target);
  if (known != this->unreachable.end()) this->unreachable.erase(known);
  // The refusals of an isolated instance say nothing about the targets.
  std::vector<std::string> ended;
  if (!this->IsIsolated()) {
    ended.assign(this->unexplained_refusals.begin(),
                 this->unexplained_refusals.end());
  }
  this->unexplained_refusals.clear();
  this->failures.clear();
  this->isolated_since.reset();
  if (this->doubt.has_value()) {
    this->last_doubt = this->doubt->since;
    this->ended_doubts += 1;
    this->doubt.reset();
  }
  return ended;
}

bool TargetReachability::RecordConnectFailed(std::string_view target,
                                             ConnectError error, Instant now,
                                             bool others_remain) {
  this->RemoveOldFailures(now);
  const std::string name(target);
  this->failures[name] = {now, error};
  Unreachable& known = this->unreachable[name];
  const int doublings = std::min(known.failures, kMaxBackoffDoublings);
  known.until = now + kInitialBackoff * (1 << doublings);
  known.failures += 1;
  if (error == ConnectError::kRefused) this->unexplained_refusals.insert(name);
  if (this->doubt.has_value() && this->doubt->open_probes.erase(name) > 0) {
    this->doubt->failed_probes += 1;
  }
  this->BeginDoubtIfDue(now);
  this->EndDoubt(now, others_remain);
  return this->IsIsolated();
}

void TargetReachability::RecordRefusedElsewhere(std::string_view target) {
  const auto failed = this->failures.find(target);
  if (failed == this->failures.end()) return;
  this->failures.erase(failed);
  const auto refused = this->unexplained_refusals.find(target);
  if (refused != this->unexplained_refusals.end()) {
    this->unexplained_refusals.erase(refused);
  }
  if (this->failures.empty()) this->isolated_since.reset();
  const int left = static_cast<int>(this->failures.size());
  if (left < kTargetsToDoubt) this->doubt.reset();
}

bool TargetReachability::NeedsReview() const {
  if (this->IsIsolated()) return false;
  return this->IsInDoubt() ||
         static_cast<int>(this->failures.size()) >= kTargetsToDoubt;
}

bool TargetReachability::Review(Instant now) {
  this->RemoveOldFailures(now);
  this->BeginDoubtIfDue(now);
  if (!this->doubt.has_value()) return this->IsIsolated();
  if (!this->doubt->reviewed_since.has_value()) {
    this->doubt->reviewed_since = now;
  }
  if (now - *this->doubt->reviewed_since >= this->ProbeTime()) {
    this->SetIsolated(now);
  }
  return this->IsIsolated();
}

void TargetReachability::BeginDoubtIfDue(Instant now) {
  if (this->IsIsolated() || this->doubt.has_value()) return;
  if (static_cast<int>(this->failures.size()) < kTargetsToDoubt) return;
  if (this->last_doubt.has_value() &&
      now - *this->last_doubt >= kFailureLifetime) {
    this->last_doubt.reset();
    this->ended_doubts = 0;
  }
  if (this->last_doubt.has_value()) {
    const int doublings =
        std::min(this->ended_doubts - 1, kMaxDoubtPauseDoublings);
    const absl::Duration pause = kInitialDoubtPause * (1 << doublings);
    if (now - *this->last_doubt < pause) return;
  }
  Doubt begun;
  begun.since = now;
  this->doubt = std::move(begun);
}

absl::Duration TargetReachability::ProbeTime() const {
  const bool all_refused = std::all_of(
      this->failures.begin(), this->failures.end(), [](const auto& failed) {
        return failed.second.error == ConnectError::kRefused;
      });
  return all_refused ? kProbeTimeAfterRefusals : kProbeTime;
}

void TargetReachability::EndDoubt(Instant now, bool others_remain) {
  if (this->IsIsolated()) return;
  const bool all_failed =
      !others_remain &&
      static_cast<int>(this->failures.size()) >= kTargetsToDoubt;
  const bool probes_failed = this->doubt.has_value() &&
                             this->doubt->open_probes.empty() &&
                             this->doubt->failed_probes >= kProbesToIsolate;
  if (all_failed || probes_failed) this->SetIsolated(now);
}

void TargetReachability::SetIsolated(Instant now) {
  this->isolated_since = now;
  this->doubt.reset();
  this->last_doubt.reset();
  this->ended_doubts = 0;
}

bool TargetReachability::HasPath(std::string_view target, Instant now) const {
  if (this->IsIsolated()) return false;
  const auto failed = this->unreachable.find(target);
  return failed == this->unreachable.end() || now >= failed->second.until;
}

void TargetReachability::RecordEnded(Instant sent_at) {
  const auto sent = this->waiting_since.find(sent_at);
  if (sent != this->waiting_since.end()) this->waiting_since.erase(sent);
}

bool TargetReachability::IsSilent(Instant now) const {
  if (this->waiting_since.empty()) return false;
  const Instant last_sign =
      std::max(*this->waiting_since.begin(), this->last_received);
  return now - last_sign >= kSilenceToProbe;
}

int TargetReachability::DoubtProbes() const {
  const bool due = this->doubt->open_probes.empty() &&
                   this->doubt->failed_probes < kProbesToIsolate;
  return due ? kProbesInDoubt : 0;
}

void TargetReachability::RecordProbe(std::string_view target) {
  if (!this->doubt.has_value()) return;
  this->doubt->open_probes.insert(std::string(target));
}

int TargetReachability::BeginProbes(Instant now) {
  if (this->doubt.has_value()) return this->DoubtProbes();
  int probes = 0;
  if (!this->unexplained_refusals.empty()) probes = 1;
  if (this->IsSilent(now)) probes = kTargetsToDoubt;
  if (this->IsIsolated()) probes = 1;
  return this->BeginProbes(probes, now);
}

int TargetReachability::BeginSuspicionProbes(Instant now) {
  if (this->IsIsolated()) return 0;
  return this->BeginProbes(kTargetsToDoubt, now);
}

int TargetReachability::BeginProbes(int probes, Instant now) {
  if (probes == 0) return 0;
  if (this->last_probe.has_value() &&
      now - *this->last_probe < kProbeInterval) {
    return 0;
  }
  this->last_probe = now;
  return probes;
}

void TargetReachability::RemoveOldFailures(Instant now) {
  if (this->IsIsolated()) return;
  for (auto item = this->failures.begin(); item != this->failures.end();) {
    const bool is_old = now - item->second.at >= kFailureLifetime;
    item = is_old ? this->failures.erase(item) : std::next(item);
  }
}

}  // namespace dragonflyglade
