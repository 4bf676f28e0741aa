#include "tests/soak/guarantee_checker.h"

#include <fmt/format.h>

#include <algorithm>

#include "absl/strings/match.h"

namespace dragonflyglade::soak {
namespace {

bool MayRunTwice(RequestKind kind) {
  return kind == RequestKind::kIdempotent || kind == RequestKind::kResumable;
}

bool SaysNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// A connection that was idle for less counts as in use and not as kept idle.
constexpr absl::Duration kMinIdleTime = absl::Milliseconds(100);

bool WithinLimits(const Outcome& outcome) {
  const absl::Duration usable = kUsableShare * kMinIdleTimeout;
  return outcome.idle_time <= std::max(usable, outcome.keep_alive_timeout) &&
         outcome.head_time <= kUsableShare * kMinHeaderTimeout;
}

std::string TimingOf(const Outcome& outcome, InstanceFault fault) {
  return fmt::format(
      "idle for {} ms, head sent in {} ms, instance {}",
      absl::ToInt64Milliseconds(outcome.idle_time),
      absl::ToInt64Milliseconds(outcome.head_time),
      fault == InstanceFault::kPaused ? "paused meanwhile" : "untouched");
}

}  // namespace

std::string EventOf(const std::string& id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

std::string BodyOf(const std::string& id, RequestKind kind) {
  if (kind == RequestKind::kNonIdempotent || kind == RequestKind::kIdempotent)
    return "done " + id;
  std::string events;
  for (int i = 1; i <= kEvents; ++i) events += EventOf(id, i);
  return events;
}

void GuaranteeChecker::AddRequestViolation(const std::string& id,
                                           const std::string& what) {
  this->violations.push_back(id + ": " + what);
}

void GuaranteeChecker::AddViolation(const std::string& what) {
  absl::MutexLock lock(&this->mutex);
  this->violations.push_back(what);
}

void GuaranteeChecker::RecordSent(const std::string& id, RequestKind kind,
                                  const std::string& key) {
  absl::MutexLock lock(&this->mutex);
  Request& sent = this->requests[id];
  sent.kind = kind;
  sent.key = key;
}

void GuaranteeChecker::RecordReached(const RawRequest& request) {
  const std::string id = request.Field("X-Dragonflyglade-Attempt-Id");
  absl::MutexLock lock(&this->mutex);
  const auto found = this->requests.find(id);
  if (found != this->requests.end()) found->second.reached = true;
}

void GuaranteeChecker::RecordRun(const RawRequest& request) {
  const std::string id = request.Field("X-Dragonflyglade-Attempt-Id");
  absl::MutexLock lock(&this->mutex);
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    this->AddRequestViolation(id, "runs at a target but was never sent");
    return;
  }
  Request& sent = found->second;
  sent.runs += 1;
  if (sent.runs > 1 && !MayRunTwice(sent.kind)) {
    this->AddRequestViolation(id, "runs twice");
  }
  if (absl::StrContains(request.head, sent.key)) {
    this->AddRequestViolation(id, "a target sees the key");
  }
  if (request.Field("X-Dragonflyglade-Tenant") != "t1") {
    this->AddRequestViolation(id, "runs for another workspace");
  }
}

// A paused instance may exceed any time limit, so only instances without a
// fault are checked. At those, bytes that were sent well within the limits
// arrived before a limit expired.
void GuaranteeChecker::CheckNotClosedEarly(const std::string& id,
                                           const Outcome& outcome,
                                           InstanceFault fault) {
  if (fault != InstanceFault::kNone || !WithinLimits(outcome)) return;
  if (outcome.idle_time >= kMinIdleTime) this->idle_connection_uses += 1;
  if (outcome.closed_early) {
    this->AddRequestViolation(
        id, "a kept connection was cut: " + TimingOf(outcome, fault));
  }
}

void GuaranteeChecker::RecordOutcome(const std::string& id,
                                     const Outcome& outcome,
                                     InstanceFault fault) {
  absl::MutexLock lock(&this->mutex);
  Request& sent = this->requests.at(id);
  sent.status = outcome.status;
  if (outcome.closed_early && fault != InstanceFault::kEnded)
    sent.closed_early = TimingOf(outcome, fault);
  this->CheckNotClosedEarly(id, outcome, fault);
  this->responses[outcome.status] += 1;
  if (outcome.status == kMalformedStatus) {
    this->AddRequestViolation(id,
                              "bytes that are no HTTP answer: " + outcome.body);
  }
  if (outcome.status != 200 || !outcome.complete) return;
  if (!outcome.is_signed)
    this->AddRequestViolation(id, "a success that no target signed");
  if (outcome.body != BodyOf(id, sent.kind)) {
    this->AddRequestViolation(
        id, "another answer, or not the whole: " + outcome.body);
  }
}

void GuaranteeChecker::CheckAtEnd() {
  absl::MutexLock lock(&this->mutex);
  for (const auto& [id, sent] : this->requests) {
    // A request at a target was read completely by the instance. From then on
    // neither a fault of the target nor an expired limit excuses closing the
    // caller's connection without a response.
    if (sent.reached && !sent.closed_early.empty()) {
      this->AddRequestViolation(
          id,
          "read completely, but cut without an answer: " + sent.closed_early);
    }
    if (MayRunTwice(sent.kind) || sent.runs == 0) continue;
    if (SaysNotRun(sent.status)) {
      this->AddRequestViolation(
          id, "ran, and was answered " + std::to_string(sent.status));
    }
  }
}

std::vector<std::string> GuaranteeChecker::Violations() const {
  absl::MutexLock lock(&this->mutex);
  return this->violations;
}

int GuaranteeChecker::IdleConnectionUses() const {
  absl::MutexLock lock(&this->mutex);
  return this->idle_connection_uses;
}

int GuaranteeChecker::Responses(int status) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->responses.find(status);
  return found == this->responses.end() ? 0 : found->second;
}

}  // namespace dragonflyglade::soak
