#include "dragonflyglade/decision/target_reachability.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflyglade {
namespace {

// One failed target is no evidence on the paths. A wrong conclusion from two
// costs little: it ends with the next probe.
constexpr int kTargetsToIsolate = 2;
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
  this->failed_at.clear();
  this->isolated_since.reset();
  return ended;
}

bool TargetReachability::RecordConnectFailed(std::string_view target,
                                             ConnectError error, Instant now) {
  this->RemoveOldFailures(now);
  const std::string name(target);
  this->failed_at[name] = now;
  Unreachable& known = this->unreachable[name];
  const int doublings = std::min(known.failures, kMaxBackoffDoublings);
  known.until = now + kInitialBackoff * (1 << doublings);
  known.failures += 1;
  if (error == ConnectError::kRefused) this->unexplained_refusals.insert(name);
  const bool isolated =
      static_cast<int>(this->failed_at.size()) >= kTargetsToIsolate;
  if (!isolated || this->IsIsolated()) return this->IsIsolated();
  this->isolated_since = now;
  return true;
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

int TargetReachability::BeginProbes(Instant now) {
  int probes = 0;
  if (!this->unexplained_refusals.empty()) probes = 1;
  if (this->IsSilent(now)) probes = kTargetsToIsolate;
  if (this->IsIsolated()) probes = 1;
  return this->BeginProbes(probes, now);
}

int TargetReachability::BeginSuspicionProbes(Instant now) {
  if (this->IsIsolated()) return 0;
  return this->BeginProbes(kTargetsToIsolate, now);
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
  for (auto item = this->failed_at.begin(); item != this->failed_at.end();) {
    item = now - item->second >= kFailureLifetime ? this->failed_at.erase(item)
                                                  : std::next(item);
  }
}

}  // namespace dragonflyglade
