#include "dragonflyglade/gateway/statement_exchange.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// For this long the reports tell that a target states no limit, or is brittle,
// no more: several reports, any of which may be lost.
constexpr absl::Duration kEndedStatementReportTime = absl::Seconds(10);
// Further ones follow in the next messages: a datagram has room for no more
// beside the other fields of a summary.
constexpr std::size_t kMaxStatementsPerMessage = 256;
// Stands for a target that states no limit.
constexpr double kNoLimit = -1;
constexpr std::int64_t kNeverDeclined = -1;
// The time of a decline is known with the error of the messages' travel time.
constexpr absl::Duration kDeclineTolerance = absl::Milliseconds(100);

absl::Duration AgeOf(std::int64_t age_ms) {
  return absl::Milliseconds(std::max<std::int64_t>(0, age_ms));
}

// Keeps as many statements as a message has room for, each time the next ones.
// @param next position of the first statement to keep
template <typename Statement>
void KeepNextStatements(std::vector<Statement>& statements, std::size_t& next) {
  if (statements.size() <= kMaxStatementsPerMessage) return;
  const std::size_t first = next % statements.size();
  next += kMaxStatementsPerMessage;
  std::rotate(statements.begin(),
              statements.begin() + static_cast<std::ptrdiff_t>(first),
              statements.end());
  statements.resize(kMaxStatementsPerMessage);
}

}  // namespace

StatementExchange::StatementExchange(FleetState& fleet, Clock clock)
    : fleet(fleet), clock(std::move(clock)) {}

void StatementExchange::AddTo(wire::InstanceReport& report) {
  report.limits = this->TargetLimits();
  report.brittle = this->BrittleTargets();
  report.leaving = this->LeavingTargets();
}

void StatementExchange::AddTo(wire::FleetSummary& summary) {
  summary.limits = this->TargetLimits();
  summary.brittle = this->BrittleTargets();
  summary.leaving = this->LeavingTargets();
}

bool StatementExchange::Apply(const wire::InstanceReport& report) {
  const bool limits_changed = this->ApplyTargetLimits(report.limits);
  const bool brittle_changed = this->ApplyBrittleTargets(report.brittle);
  const bool leaving_changed = this->ApplyLeavingTargets(report.leaving);
  return limits_changed || brittle_changed || leaving_changed;
}

void StatementExchange::Apply(const wire::FleetSummary& summary) {
  this->ApplyTargetLimits(summary.limits);
  this->ApplyBrittleTargets(summary.brittle);
  this->ApplyLeavingTargets(summary.leaving);
}

std::vector<wire::TargetLimit> StatementExchange::TargetLimits() {
  const Instant now = this->clock.Now();
  std::vector<wire::TargetLimit> limits;
  this->fleet.ForEachTarget([&](const TargetState& target) {
    const TargetRateLimit& rate_limit = target.RateLimit();
    if (!rate_limit.StatedAt().has_value()) return;
    const absl::Duration age = now - *rate_limit.StatedAt();
    const bool in_force = rate_limit.Limit().has_value();
    if (!in_force && age > kEndedStatementReportTime) return;
    if (!in_force && !rate_limit.EverLimited()) return;
    wire::TargetLimit limit;
    limit.target = target.Record().id;
    limit.born_ms = target.Record().born_ms;
    limit.requests_per_second = rate_limit.Limit().value_or(kNoLimit);
    limit.age_ms = absl::ToInt64Milliseconds(age);
    limits.push_back(std::move(limit));
  });
  KeepNextStatements(limits, this->next_limit);
  return limits;
}

// Returns whether the limit of any target changed.
bool StatementExchange::ApplyTargetLimits(
    const std::vector<wire::TargetLimit>& limits) {
  const Instant now = this->clock.Now();
  bool changed = false;
  for (const wire::TargetLimit& limit : limits) {
    const std::shared_ptr<TargetState> target =
        this->fleet.Target(limit.target);
    if (target == nullptr || target->Record().born_ms != limit.born_ms) {
      continue;
    }
    const std::optional<double> rate =
        limit.requests_per_second >= 0
            ? std::optional<double>(limit.requests_per_second)
            : std::nullopt;
    changed |= target->RateLimit().Record(rate, now - AgeOf(limit.age_ms));
  }
  return changed;
}

std::vector<wire::TargetProcess> StatementExchange::LeavingTargets() {
  std::vector<wire::TargetProcess> leaving;
  this->fleet.ForEachTarget([&](const TargetState& target) {
    if (!target.LeavesByItsWord()) return;
    wire::TargetProcess process;
    process.target = target.Record().id;
    process.born_ms = target.Record().born_ms;
    leaving.push_back(std::move(process));
  });
  KeepNextStatements(leaving, this->next_leaving);
  return leaving;
}

// Returns whether any of the targets was not known to leave.
bool StatementExchange::ApplyLeavingTargets(
    const std::vector<wire::TargetProcess>& leaving) {
  bool changed = false;
  for (const wire::TargetProcess& process : leaving) {
    const std::shared_ptr<TargetState> target =
        this->fleet.Target(process.target);
    if (target == nullptr || target->Record().born_ms != process.born_ms) {
      continue;
    }
    changed |= target->RecordSaidLeaving();
  }
  if (changed) this->fleet.Changed().Notify();
  return changed;
}

std::vector<wire::TargetBrittleness> StatementExchange::BrittleTargets() {
  const Instant now = this->clock.Now();
  std::vector<wire::TargetBrittleness> brittle;
  this->fleet.ForEachTarget([&](const TargetState& target) {
    const BrittleTarget& known = target.Brittleness();
    if (!known.EverBrittle()) return;
    const absl::Duration age = now - *known.StatedAt();
    if (!known.IsBrittle() && age > kEndedStatementReportTime) return;
    wire::TargetBrittleness item;
    item.target = target.Record().id;
    item.born_ms = target.Record().born_ms;
    item.declines_per_second = known.DeclinesPerSecond().value_or(kNoLimit);
    item.age_ms = absl::ToInt64Milliseconds(age);
    item.declined_ago_ms =
        known.LastDeclined().has_value()
            ? absl::ToInt64Milliseconds(now - *known.LastDeclined())
            : kNeverDeclined;
    brittle.push_back(std::move(item));
  });
  KeepNextStatements(brittle, this->next_brittle);
  return brittle;
}

// Returns whether the statement of any target changed, or one has declined a
// request that this instance did not know of.
bool StatementExchange::ApplyBrittleTargets(
    const std::vector<wire::TargetBrittleness>& brittle) {
  const Instant now = this->clock.Now();
  bool changed = false;
  for (const wire::TargetBrittleness& item : brittle) {
    const std::shared_ptr<TargetState> target = this->fleet.Target(item.target);
    if (target == nullptr || target->Record().born_ms != item.born_ms) continue;
    BrittleTarget& known = target->Brittleness();
    const std::optional<double> declines =
        item.declines_per_second >= 0
            ? std::optional<double>(item.declines_per_second)
            : std::nullopt;
    changed |= known.RecordStatement(declines, now - AgeOf(item.age_ms));
    if (!known.IsBrittle() || item.declined_ago_ms < 0) continue;
    const std::optional<Instant> last = known.LastDeclined();
    known.RecordDeclined(now - AgeOf(item.declined_ago_ms));
    changed |=
        !last.has_value() || *known.LastDeclined() - *last > kDeclineTolerance;
  }
  return changed;
}

}  // namespace dragonflyglade::gateway
