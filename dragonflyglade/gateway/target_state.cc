#include "dragonflyglade/gateway/target_state.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// How long a target's word that it lacks something goes before its record,
// which is written at its next heartbeat, about a second later.
constexpr absl::Duration kAbsenceHolds = absl::Milliseconds(1000);
// A report tells of the load at one moment; after this it says nothing.
constexpr absl::Duration kReportHolds = absl::Seconds(1);
// Summaries come several times a second; after this the sender is gone.
constexpr absl::Duration kOthersHold = absl::Milliseconds(1500);
// A full target is asked again when a place may have become free: plain
// requests take some tens of milliseconds.
constexpr absl::Duration kFullHolds = absl::Milliseconds(60);
// The weight of the last request in the share of faults: about the last ten
// count, so that a target failing two in five stands out within a second.
constexpr double kFaultWeight = 0.1;
// A target that refuses connections or is silent is left alone for a while,
// twice as long each time.
constexpr absl::Duration kAvoidFirst = absl::Milliseconds(500);
constexpr int kAvoidDoublings = 4;

}  // namespace

std::string ResidentKey(std::string_view model, std::string_view adapter) {
  std::string key(model);
  if (!adapter.empty()) key.append("/").append(adapter);
  return key;
}

TargetState::TargetState(TargetRecord record, Instant now)
    : record(std::move(record)), updated_at(now) {}

void TargetState::Update(TargetRecord newer, Instant now) {
  const bool other_process = newer.born_ms != this->record.born_ms ||
                             newer.address != this->record.address;
  this->record = std::move(newer);
  this->updated_at = now;
  this->missing_since.reset();
  if (!other_process) return;
  this->placed_adapters.clear();
  this->closing_models.clear();
  this->placed_at.reset();
  this->absent_until.clear();
  this->connections.Clear();
  this->report.reset();
  this->failure_rate = 0;
  this->unreachable_in_row = 0;
  this->avoid_until = absl::ZeroDuration();
}

bool TargetState::HoldsModel(std::string_view model) const {
  return std::any_of(
      this->record.models.begin(), this->record.models.end(),
      [&](const ResidentModel& item) { return item.name == model; });
}

bool TargetState::Holds(std::string_view model, std::string_view adapter,
                        Instant now) const {
  const std::string key = ResidentKey(model, adapter);
  const auto absent = this->absent_until.find(key);
  if (absent != this->absent_until.end() && now < absent->second) return false;
  const bool told =
      this->placed_at.has_value() && now - *this->placed_at < kOthersHold;
  if (told && this->closing_models.count(std::string(model)) > 0) return false;
  for (const ResidentModel& item : this->record.models) {
    if (item.name != model) continue;
    if (adapter.empty()) return true;
    if (told) return this->placed_adapters.count(key) > 0;
    return std::find(item.adapters.begin(), item.adapters.end(), adapter) !=
           item.adapters.end();
  }
  return false;
}

void TargetState::MarkNotResident(std::string_view model,
                                  std::string_view adapter, Instant now) {
  this->absent_until[ResidentKey(model, adapter)] = now + kAbsenceHolds;
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
  this->avoid_until = std::max(this->avoid_until, now + kFullHolds);
}

void TargetState::Sent(double prompt_tokens, const std::string& resident,
                       Instant now) {
  this->pace.Add(prompt_tokens, now);
  if (!resident.empty()) this->residents_in_use[resident] += 1;
  this->in_flight += 1;
  this->unread_tokens += prompt_tokens;
}

void TargetState::FirstOutput(double prompt_tokens) {
  this->unread_tokens = std::max(0.0, this->unread_tokens - prompt_tokens);
}

void TargetState::Ended(const std::string& resident) {
  this->in_flight -= 1;
  const auto used = this->residents_in_use.find(resident);
  if (used == this->residents_in_use.end()) return;
  used->second -= 1;
  if (used->second <= 0) this->residents_in_use.erase(used);
}

void TargetState::Reported(const LoadReport& newer, Instant now) {
  this->report = newer;
  this->reported_at = now;
  this->in_flight_at_report = this->in_flight;
}

void TargetState::SetOtherInstancesLoad(double requests, double unread,
                                        Instant now) {
  this->others_requests = requests;
  this->others_unread = unread;
  this->others_at = now;
}

void TargetState::AddSentByOthers(double prompt_tokens, Instant now) {
  this->others_sent.Add(prompt_tokens, now);
  this->pace.Add(prompt_tokens, now);
}

double TargetState::Requests(Instant now) const {
  if (this->others_at.has_value() && now - *this->others_at < kOthersHold) {
    return this->in_flight + this->others_requests;
  }
  if (this->report.has_value() && now - this->reported_at < kReportHolds) {
    const int since = this->in_flight - this->in_flight_at_report;
    return std::max<double>(
        this->in_flight, this->report->running + this->report->waiting + since);
  }
  return this->in_flight;
}

double TargetState::Unread(Instant now) const {
  const double known = this->unread_tokens + this->others_sent.Level(now);
  if (this->others_at.has_value() && now - *this->others_at < kOthersHold) {
    return known + this->others_unread;
  }
  return known;
}

void TargetState::Learn(TargetResult result, Instant now) {
  const double fault = result == TargetResult::kSuccess ? 0 : 1;
  this->failure_rate += kFaultWeight * (fault - this->failure_rate);
  if (result != TargetResult::kUnreachable) {
    this->unreachable_in_row = 0;
    return;
  }
  const int doublings = std::min(this->unreachable_in_row, kAvoidDoublings);
  this->avoid_until = now + kAvoidFirst * (1 << doublings);
  this->unreachable_in_row += 1;
}

}  // namespace dragonflyglade::gateway
