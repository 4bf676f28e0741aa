#include "dragonflyglade/gateway/report_aggregator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dragonflyglade/decision/quota_windows.h"

namespace dragonflyglade::gateway {
namespace {

// A report is missed when the next one is this late: with reports each 200 ms,
// three in a row are not lost by chance. Until an instance is missed, others
// spend quota that it may be spending, too.
constexpr absl::Duration kReportLate = absl::Milliseconds(500);
// Demand is averaged over this time: long enough that single large requests
// do not move models, short against the seconds that a load takes.
constexpr absl::Duration kDemandMemory = absl::Seconds(3);
// Reports of one moment are answered from the same sums.
constexpr absl::Duration kSumsHold = absl::Milliseconds(10);
// Below a second of reports, single requests would look like demand.
constexpr double kLeastSeen = 0.3;
constexpr double kNothing = 1e-3;  // milliseconds of work

}  // namespace

ReportAggregator::ReportAggregator(const QuotaParticipants& owners,
                                   absl::Duration spend_window, Clock clock)
    : owners(owners), spend_window(spend_window), clock(std::move(clock)) {}

void ReportAggregator::Decay(Average& average) const {
  const Instant now = this->clock.Now();
  const double age = absl::FDivDuration(now - average.at, kDemandMemory);
  average.sum_ms *= std::exp(-age);
  average.at = now;
}

void ReportAggregator::Take(const wire::InstanceReport& report) {
  Entry& entry = this->entries[report.incarnation];
  if (report.sequence <= entry.report.sequence) return;
  entry.report = report;
  entry.at = this->clock.Now();
  entry.taken_over = false;
  const bool first = !report.wishes.empty() && !this->demand_since.has_value();
  if (first) this->demand_since = entry.at;
  for (const wire::ModelWish& wish : report.wishes) {
    const ModelName name{wish.service_name, wish.model, wish.adapter};
    const auto found =
        this->demand.try_emplace(name, Average{0, entry.at}).first;
    this->Decay(found->second);
    found->second.sum_ms += wish.work_ms;
  }
}

bool ReportAggregator::IsHeard(const Entry& entry) const {
  if (entry.taken_over) return false;
  const absl::Duration interval = absl::Milliseconds(entry.report.interval_ms);
  return this->clock.Now() - entry.at <= interval + kReportLate;
}

void ReportAggregator::DropOld() {
  const Instant now = this->clock.Now();
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (now - entry->second.at > this->spend_window) {
      entry = this->entries.erase(entry);
    } else {
      ++entry;
    }
  }
}

double ReportAggregator::UnknownShares() const {
  double shares = 0;
  for (const auto& [incarnation, entry] : this->entries) {
    if (!entry.report.listed || !this->IsHeard(entry)) continue;
    if (this->IsSuccessor(incarnation, entry)) continue;
    shares +=
        1 - SpendableFractionAfterRestart(
                absl::Milliseconds(entry.report.age_ms), this->spend_window);
  }
  return shares;
}

double ReportAggregator::MissingPart() const {
  std::set<std::string_view> heard;
  for (const auto& [incarnation, entry] : this->entries) {
    if (this->IsHeard(entry)) heard.insert(entry.report.instance);
  }
  return this->owners.MissingPart(heard);
}

// Whether what the process before it spent is known from its reports.
bool ReportAggregator::IsSuccessor(std::string_view incarnation,
                                   const Entry& entry) const {
  return std::any_of(
      this->entries.begin(), this->entries.end(), [&](const auto& other) {
        return other.first != incarnation &&
               other.second.report.instance == entry.report.instance;
      });
}

// Summed up once for many summaries: each instance's summary is the whole less
// its own part, so the work grows with the instances and not with their square.
void ReportAggregator::SumUp() {
  const Instant now = this->clock.Now();
  if (this->sums_at.has_value() && now - *this->sums_at < kSumsHold) return;
  this->sums_at = now;
  this->DropOld();
  this->sums = Sums();
  this->sums.unknown_shares = this->UnknownShares();
  this->sums.missing_part = this->MissingPart();
  for (const auto& [incarnation, entry] : this->entries) {
    for (const wire::WorkspaceSpend& spend : entry.report.spends) {
      this->sums.spends[spend.workspace] += this->Counted(entry, spend.tokens);
    }
    if (!this->IsHeard(entry)) continue;
    if (entry.report.listed) this->sums.instances += 1;
    this->sums.answers[incarnation] = entry.report.sequence;
    for (const wire::TargetUse& use : entry.report.targets) {
      wire::TargetUse& sum = this->sums.uses[use.target];
      sum.requests += use.requests;
      sum.unread_tokens += use.unread_tokens;
    }
  }
}

// What was taken over leaves the window at an unknown pace.
std::int64_t ReportAggregator::Counted(const Entry& entry,
                                       std::int64_t tokens) const {
  if (!entry.taken_over) return tokens;
  const double part = CountedFractionOfPriorSpending(
      this->clock.Now() - entry.at, this->spend_window);
  return static_cast<std::int64_t>(part * static_cast<double>(tokens));
}

std::vector<ProcessSpend> ReportAggregator::SpendingByProcess() {
  this->DropOld();
  std::vector<ProcessSpend> all;
  for (const auto& [incarnation, entry] : this->entries) {
    // Most instances of a large fleet stand by.
    if (entry.report.spends.empty() && !entry.report.listed) continue;
    ProcessSpend process;
    process.instance = entry.report.instance;
    process.incarnation = incarnation;
    process.listed = entry.report.listed;
    for (const wire::WorkspaceSpend& spend : entry.report.spends) {
      process.tokens[spend.workspace] = this->Counted(entry, spend.tokens);
    }
    all.push_back(std::move(process));
  }
  return all;
}

void ReportAggregator::TakeOver(const SpendRecord& record) {
  for (const ProcessSpend& process : record.processes) {
    Entry entry;
    entry.report.instance = process.instance;
    entry.report.incarnation = process.incarnation;
    entry.at = this->clock.Now();
    entry.taken_over = true;
    for (const auto& [workspace, tokens] : process.tokens) {
      wire::WorkspaceSpend spend;
      spend.workspace = workspace;
      spend.tokens = static_cast<std::int64_t>((1 + kUnrecordedSpendingShare) *
                                               static_cast<double>(tokens));
      entry.report.spends.push_back(std::move(spend));
    }
    // What the process itself reported is newer.
    this->entries.try_emplace(process.incarnation, std::move(entry));
  }
  this->sums_at.reset();
}

FleetSpending ReportAggregator::SpendingOf(const std::string& workspace) {
  this->SumUp();
  FleetSpending spend;
  const auto tokens = this->sums.spends.find(workspace);
  if (tokens != this->sums.spends.end()) {
    spend.total = static_cast<double>(tokens->second);
  }
  spend.instances = this->sums.instances;
  spend.unknown_shares = this->sums.unknown_shares;
  spend.missing_part = this->sums.missing_part;
  return spend;
}

wire::FleetSummary ReportAggregator::SummaryFor(
    const wire::InstanceReport& report) {
  this->SumUp();
  wire::FleetSummary summary;
  summary.instances = this->sums.instances;
  summary.unknown_shares = this->sums.unknown_shares;
  summary.missing_part = this->sums.missing_part;
  // The sums may be older than the last report: what counts is the part of
  // this instance that is in them.
  const auto counted = this->sums.answers.find(report.incarnation);
  if (counted != this->sums.answers.end()) summary.answers = counted->second;
  std::map<std::string_view, const wire::TargetUse*> own;
  for (const wire::TargetUse& use : report.targets) own[use.target] = &use;
  for (const auto& [target, sum] : this->sums.uses) {
    wire::TargetUse others = sum;
    const auto mine = own.find(target);
    if (mine != own.end()) {
      others.requests = std::max(0, sum.requests - mine->second->requests);
      others.unread_tokens = std::max<std::int64_t>(
          0, sum.unread_tokens - mine->second->unread_tokens);
    }
    if (others.requests == 0 && others.unread_tokens == 0) continue;
    others.target = target;
    summary.targets.push_back(std::move(others));
  }
  for (const auto& [workspace, tokens] : this->sums.spends) {
    wire::WorkspaceSpend spend;
    spend.workspace = workspace;
    spend.tokens = tokens;
    summary.spends.push_back(std::move(spend));
  }
  return summary;
}

std::map<ModelName, FleetDemand> ReportAggregator::Demand() {
  this->DropOld();
  std::map<ModelName, FleetDemand> result;
  // The average of a new holder begins at nothing; without this, models in
  // demand look idle in its first seconds and lose their copies.
  const Instant since = this->demand_since.value_or(this->clock.Now());
  const double age =
      absl::FDivDuration(this->clock.Now() - since, kDemandMemory);
  const double seen = std::max(kLeastSeen, 1 - std::exp(-age));
  const double memory_ms = seen * absl::ToDoubleMilliseconds(kDemandMemory);
  for (auto item = this->demand.begin(); item != this->demand.end();) {
    this->Decay(item->second);
    if (item->second.sum_ms < kNothing) {
      item = this->demand.erase(item);
      continue;
    }
    result[item->first].load = item->second.sum_ms / memory_ms;
    ++item;
  }
  for (const auto& [incarnation, entry] : this->entries) {
    if (!this->IsHeard(entry)) continue;
    for (const wire::ModelWish& wish : entry.report.wishes) {
      result[{wish.service_name, wish.model, wish.adapter}].waiting +=
          wish.waiting;
    }
  }
  return result;
}

std::map<std::string, std::set<std::string>> ReportAggregator::ResidentsInUse()
    const {
  std::map<std::string, std::set<std::string>> in_use;
  for (const auto& [incarnation, entry] : this->entries) {
    if (!this->IsHeard(entry)) continue;
    for (const wire::TargetUse& use : entry.report.targets) {
      in_use[use.target].insert(use.residents.begin(), use.residents.end());
    }
  }
  return in_use;
}

std::vector<wire::InstanceReport> ReportAggregator::RecentReports() {
  this->DropOld();
  std::vector<wire::InstanceReport> reporters;
  for (const auto& [incarnation, entry] : this->entries) {
    if (this->IsHeard(entry)) reporters.push_back(entry.report);
  }
  return reporters;
}

void ReportAggregator::Clear() {
  this->entries.clear();
  this->demand.clear();
  this->sums_at.reset();
  this->demand_since.reset();
}

}  // namespace dragonflyglade::gateway
