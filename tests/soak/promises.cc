#include "tests/soak/promises.h"

#include <fmt/format.h>

#include <algorithm>

#include "absl/strings/match.h"

namespace dragonflyglade::soak {
namespace {

bool MayRunTwice(Kind kind) {
  return kind == Kind::kRepeatable || kind == Kind::kResumable;
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Shorter ones are not kept, but used at once.
constexpr absl::Duration kLeastKept = absl::Milliseconds(100);

bool InTime(const Outcome& outcome) {
  const absl::Duration usable = kUsableShare * kLeastIdle;
  return outcome.kept <= std::max(usable, outcome.stated) &&
         outcome.head <= kUsableShare * kLeastHead;
}

std::string TraceOf(const Outcome& outcome, Harm harm) {
  return fmt::format("kept for {} ms, head in {} ms, instance {}",
                     absl::ToInt64Milliseconds(outcome.kept),
                     absl::ToInt64Milliseconds(outcome.head),
                     harm == Harm::kPaused ? "paused meanwhile" : "untouched");
}

}  // namespace

std::string EventOf(const std::string& id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
}

std::string BodyOf(const std::string& id, Kind kind) {
  if (kind == Kind::kOnce || kind == Kind::kRepeatable) return "done " + id;
  std::string events;
  for (int i = 1; i <= kEvents; ++i) events += EventOf(id, i);
  return events;
}

void Promises::Violation(const std::string& id, const std::string& what) {
  this->violations.push_back(id + ": " + what);
}

void Promises::Broken(const std::string& what) {
  absl::MutexLock lock(&this->mutex);
  this->violations.push_back(what);
}

void Promises::Sent(const std::string& id, Kind kind, const std::string& key) {
  absl::MutexLock lock(&this->mutex);
  Request& sent = this->requests[id];
  sent.kind = kind;
  sent.key = key;
}

void Promises::Reached(const RawRequest& request) {
  const std::string id = request.Field("X-Dragonflyglade-Attempt-Id");
  absl::MutexLock lock(&this->mutex);
  const auto found = this->requests.find(id);
  if (found != this->requests.end()) found->second.reached = true;
}

void Promises::Runs(const RawRequest& request) {
  const std::string id = request.Field("X-Dragonflyglade-Attempt-Id");
  absl::MutexLock lock(&this->mutex);
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    this->Violation(id, "runs and was never sent");
    return;
  }
  Request& sent = found->second;
  sent.runs += 1;
  if (sent.runs > 1 && !MayRunTwice(sent.kind)) {
    this->Violation(id, "runs twice");
  }
  if (absl::StrContains(request.head, sent.key)) {
    this->Violation(id, "a target sees the key");
  }
  if (request.Field("X-Dragonflyglade-Tenant") != "t1") {
    this->Violation(id, "runs for another workspace");
  }
}

// An instance that is paused cannot keep time. With one that runs on, bytes
// sent well within the limits were there before any limit had passed.
void Promises::CheckKept(const std::string& id, const Outcome& outcome,
                         Harm harm) {
  if (harm != Harm::kNone || !InTime(outcome)) return;
  if (outcome.kept >= kLeastKept) this->kept_uses += 1;
  if (outcome.cut) {
    this->Violation(id, "a kept connection was cut: " + TraceOf(outcome, harm));
  }
}

void Promises::Answered(const std::string& id, const Outcome& outcome,
                        Harm harm) {
  absl::MutexLock lock(&this->mutex);
  Request& sent = this->requests.at(id);
  sent.status = outcome.status;
  if (outcome.cut && harm != Harm::kEnded) sent.cut = TraceOf(outcome, harm);
  this->CheckKept(id, outcome, harm);
  this->answers[outcome.status] += 1;
  if (outcome.status == kUnreadable) {
    this->Violation(id, "bytes that are no answer: " + outcome.body);
  }
  if (outcome.status != 200 || !outcome.whole) return;
  if (!outcome.is_signed) this->Violation(id, "a success of no target");
  if (outcome.body != BodyOf(id, sent.kind)) {
    this->Violation(id, "another answer, or not the whole: " + outcome.body);
  }
}

void Promises::CheckEnd() {
  absl::MutexLock lock(&this->mutex);
  for (const auto& [id, sent] : this->requests) {
    // A target can only have what the instance has read whole. Neither a
    // target's fault nor a limit that passes then excuses silence.
    if (sent.reached && !sent.cut.empty()) {
      this->Violation(id, "read whole, and cut without an answer: " + sent.cut);
    }
    if (MayRunTwice(sent.kind) || sent.runs == 0) continue;
    if (PromisesNotRun(sent.status)) {
      this->Violation(id,
                      "ran, and was answered " + std::to_string(sent.status));
    }
  }
}

std::vector<std::string> Promises::Violations() const {
  absl::MutexLock lock(&this->mutex);
  return this->violations;
}

int Promises::KeptUses() const {
  absl::MutexLock lock(&this->mutex);
  return this->kept_uses;
}

int Promises::Answers(int status) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->answers.find(status);
  return found == this->answers.end() ? 0 : found->second;
}

}  // namespace dragonflyglade::soak
