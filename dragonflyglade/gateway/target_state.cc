#include "dragonflyglade/gateway/target_state.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// How long a target's statement that something is not resident overrides its
// record, which the target corrects at its next heartbeat, about a second
// later.
constexpr absl::Duration kNotResidentLifetime = absl::Milliseconds(1000);
// A load report describes one moment and is ignored after this time.
constexpr absl::Duration kLoadReportLifetime = absl::Seconds(1);
// The leader sends several summaries a second. Without one for this long the
// leader is unreachable, and its last summary is ignored.
constexpr absl::Duration kSummaryLifetime = absl::Milliseconds(1500);
// How long a full target is avoided. Requests of services without engines take
// some tens of milliseconds, so it may have room again after this time.
constexpr absl::Duration kFullBackoff = absl::Milliseconds(60);
// A brittle target's declines are counted by the second.
constexpr absl::Duration kBrittleBackoff = absl::Seconds(1);
// The weight of a request in the moving average of failures: about the last ten
// requests count, so that a target which fails two in five stands out within a
// second.
constexpr double kFailureWeight = 0.1;
// An unreachable target is avoided with exponential backoff: each failure in a
// row doubles the time, up to this number of times.
constexpr absl::Duration kInitialBackoff = absl::Milliseconds(500);
constexpr int kMaxBackoffDoublings = 4;

}  // namespace

std::string ResidentKey(std::string_view model, std::string_view adapter) {
  std::string key(model);
  if (!adapter.empty()) key.append("/").append(adapter);
  return key;
}

TargetState::TargetState(TargetRecord record, Instant now)
    : record(std::move(record)), updated_at(now) {
  this->slow_start.Begin(this->record.warm_up_remaining, now);
}

void TargetState::Update(TargetRecord newer, Instant now) {
  const bool restarted = newer.born_ms != this->record.born_ms ||
                         newer.address != this->record.address;
  this->record = std::move(newer);
  this->updated_at = now;
  this->missing_since.reset();
  this->slow_start.Begin(this->record.warm_up_remaining, now);
  if (!restarted) return;
  this->placed_adapters.clear();
  this->closing_models.clear();
  this->placed_at.reset();
  this->absent_until.clear();
  this->connections.Clear();
  this->tunnels.Clear();
  this->report.reset();
  this->states_slowness = false;
  this->rate_limit = TargetRateLimit();
  this->brittleness = BrittleTarget();
  this->rest = TargetRest();
  this->said_leaving = false;
  this->failure_rate = 0;
  this->unreachable_in_row = 0;
  this->avoid_until = absl::ZeroDuration();
}

bool TargetState::RecordSaidLeaving() {
  const bool is_new = !this->IsLeaving();
  this->said_leaving = true;
  return is_new;
}

bool TargetState::HoldsModel(std::string_view model) const {
  return std::any_of(
      this->record.models.begin(), this->record.models.end(),
      [&](const ResidentModel& item) { return item.name == model; });
}

// Without a leader nobody loads or unloads adapters, so that what the last one
// reported stays right until the next one acts. The record may be as old as
// this process: changes of adapters alone are not passed on. If this instance
// only lost contact with the leader, a target that lacks the adapter says so.
bool TargetState::Holds(std::string_view model, std::string_view adapter,
                        Instant now) const {
  const std::string key = ResidentKey(model, adapter);
  const auto absent = this->absent_until.find(key);
  if (absent != this->absent_until.end() && now < absent->second) return false;
  const bool fresh =
      this->placed_at.has_value() && now - *this->placed_at < kSummaryLifetime;
  if (fresh && this->closing_models.count(std::string(model)) > 0) return false;
  for (const ResidentModel& item : this->record.models) {
    if (item.name != model) continue;
    if (adapter.empty()) return true;
    const bool placed = this->placed_adapters.count(key) > 0;
    if (fresh || placed) return placed;
    return std::find(item.adapters.begin(), item.adapters.end(), adapter) !=
           item.adapters.end();
  }
  return false;
}

void TargetState::MarkNotResident(std::string_view model,
                                  std::string_view adapter, Instant now) {
  this->absent_until[ResidentKey(model, adapter)] = now + kNotResidentLifetime;
}

bool TargetState::RefreshPlacement(Instant now) {
  if (!this->placed_at.has_value()) return false;
  this->placed_at = now;
  return true;
}

void TargetState::SetPlacement(std::set<std::string> adapters,
                               std::set<std::string> closing, Instant now) {
  this->placed_adapters = std::move(adapters);
  this->closing_models = std::move(closing);
  this->placed_at = now;
}

void TargetState::MarkFull(Instant now) {
  const bool brittle = this->brittleness.IsBrittle();
  const absl::Duration backoff = brittle ? kBrittleBackoff : kFullBackoff;
  this->avoid_until = std::max(this->avoid_until, now + backoff);
  if (brittle) this->brittleness.RecordDeclined(now);
}

void TargetState::RecordSent(double prompt_tokens, const std::string& resident,
                             Instant now) {
  this->pace.Add(prompt_tokens, now);
  this->prompts.Add(prompt_tokens, now);
  this->sent.RecordSent(now);
  if (!resident.empty()) this->residents_in_use[resident] += 1;
  this->in_flight += 1;
  this->unread_tokens += prompt_tokens;
}

void TargetState::RecordFirstOutput(double prompt_tokens) {
  this->unread_tokens = std::max(0.0, this->unread_tokens - prompt_tokens);
}

void TargetState::RecordEnd(const std::string& resident) {
  this->in_flight -= 1;
  const auto used = this->residents_in_use.find(resident);
  if (used == this->residents_in_use.end()) return;
  used->second -= 1;
  if (used->second <= 0) this->residents_in_use.erase(used);
}

void TargetState::SetLoadReport(const LoadReport& newer, Instant now) {
  this->report = newer;
  this->reported_at = now;
  this->in_flight_at_report = this->in_flight;
  this->states_slowness |= newer.slowness.has_value();
}

double TargetState::Slowness(Instant now) const {
  const bool recent =
      this->report.has_value() && now - this->reported_at < kLoadReportLifetime;
  return recent ? this->report->slowness.value_or(1) : 1;
}

void TargetState::SetOtherInstancesLoad(double requests, double unread,
                                        Instant now) {
  this->others_requests = requests;
  this->others_unread = unread;
  this->others_at = now;
  this->others_backlog.Record(unread, now);
}

double TargetState::PromptTokensPerMs(Instant now) const {
  return std::max(
      this->prompts.TokensPerMs(now),
      this->others_backlog.TokensPerMs(this->TypicalPromptTokens(), now));
}

void TargetState::AddSentByOthers(double prompt_tokens, Instant now) {
  this->others_sent.Add(prompt_tokens, now);
  this->prompts.Add(prompt_tokens, now);
  this->pace.Add(prompt_tokens, now);
}

double TargetState::EstimatedRequests(Instant now) const {
  if (this->others_at.has_value() &&
      now - *this->others_at < kSummaryLifetime) {
    return this->in_flight + this->others_requests;
  }
  if (this->report.has_value() &&
      now - this->reported_at < kLoadReportLifetime) {
    const int requests_since = this->in_flight - this->in_flight_at_report;
    return std::max<double>(
        this->in_flight,
        this->report->running + this->report->waiting + requests_since);
  }
  return this->in_flight;
}

double TargetState::EstimatedUnreadTokens(Instant now) const {
  const double known = this->unread_tokens + this->others_sent.Level(now);
  if (this->others_at.has_value() &&
      now - *this->others_at < kSummaryLifetime) {
    return known + this->others_unread;
  }
  return known;
}

void TargetState::ForgetUnreachable() {
  if (this->unreachable_in_row == 0) return;
  this->unreachable_in_row = 0;
  this->failure_rate = 0;
  this->avoid_until = absl::ZeroDuration();
}

void TargetState::RecordResult(TargetResult result, Instant now) {
  const double failed = result == TargetResult::kSuccess ? 0 : 1;
  this->failure_rate += kFailureWeight * (failed - this->failure_rate);
  if (result != TargetResult::kUnreachable) {
    this->unreachable_in_row = 0;
    return;
  }
  const int doublings =
      std::min(this->unreachable_in_row, kMaxBackoffDoublings);
  this->avoid_until = now + kInitialBackoff * (1 << doublings);
  this->unreachable_in_row += 1;
}

}  // namespace dragonflyglade::gateway
