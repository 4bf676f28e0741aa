#include "dragonflyglade/gateway/report_aggregator.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/decision/quota_windows.h"

namespace dragonflyglade::gateway {
namespace {

// A report is overdue when it is this late: with a report every 200 ms, three
// in a row are not lost by chance. Until an instance counts as missing, others
// may spend quota that it is spending, too.
constexpr absl::Duration kReportGrace = absl::Milliseconds(500);
// Reports change the sums when they arrive. They are computed anew after this
// time, for the reports that became overdue and the records that count less.
constexpr absl::Duration kSumsMaxAge = absl::Milliseconds(100);

}  // namespace

ReportAggregator::ReportAggregator(const QuotaParticipants& participants,
                                   absl::Duration spend_window, Clock clock)
    : participants(participants),
      spend_window(spend_window),
      clock(std::move(clock)) {}

void ReportAggregator::AddReport(const wire::InstanceReport& report) {
  ProcessReport& entry = this->entries[report.incarnation];
  if (report.sequence <= entry.report.sequence) return;
  this->SubtractFromSums(report.incarnation, entry);
  entry.report = report;
  entry.received_at = this->clock.Now();
  entry.from_record = false;
  this->AddToSums(report.incarnation, entry);
  const bool first = !report.wishes.empty() && !this->demand_since.has_value();
  if (first) this->demand_since = entry.received_at;
  for (const wire::ModelWish& model_demand : report.wishes) {
    const ModelName name{model_demand.service_name, model_demand.model,
                         model_demand.adapter};
    const auto found =
        this->demand.try_emplace(name, DemandTrend(entry.received_at)).first;
    found->second.Add(model_demand.work_ms, entry.received_at);
  }
}

bool ReportAggregator::IsCurrent(const ProcessReport& entry) const {
  if (entry.from_record) return false;
  const absl::Duration interval = absl::Milliseconds(entry.report.interval_ms);
  return this->clock.Now() - entry.received_at <= interval + kReportGrace;
}

void ReportAggregator::RemoveExpired() {
  const Instant now = this->clock.Now();
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (now - entry->second.received_at > this->spend_window) {
      entry = this->entries.erase(entry);
    } else {
      ++entry;
    }
  }
}

double ReportAggregator::UnknownShares() const {
  double shares = 0;
  for (const auto& [incarnation, entry] : this->entries) {
    if (!entry.report.listed || !this->IsCurrent(entry)) continue;
    if (this->IsSuccessor(incarnation, entry)) continue;
    shares +=
        1 - SpendableFractionAfterRestart(
                absl::Milliseconds(entry.report.age_ms), this->spend_window);
  }
  return shares;
}

std::set<std::string_view> ReportAggregator::ReportingInstances() const {
  std::set<std::string_view> reporting;
  for (const auto& [incarnation, entry] : this->entries) {
    if (this->IsCurrent(entry)) reporting.insert(entry.report.instance);
  }
  return reporting;
}

double ReportAggregator::MissingPart() const {
  return this->participants.UnreportedFraction(this->ReportingInstances());
}

ReportAggregator::Unreported ReportAggregator::FindUnreported() const {
  Unreported unreported;
  std::map<std::string_view, const ProcessReport*> last_reports;
  for (const std::string_view name :
       this->participants.Unreported(this->ReportingInstances())) {
    last_reports[name] = nullptr;
  }
  unreported.instances = last_reports.size();
  for (const auto& [incarnation, entry] : this->entries) {
    const auto found = last_reports.find(entry.report.instance);
    if (found == last_reports.end()) continue;
    const ProcessReport*& last = found->second;
    if (last == nullptr || last->received_at < entry.received_at) last = &entry;
  }
  for (const auto& [name, last] : last_reports) {
    const absl::Duration age = last == nullptr
                                   ? absl::InfiniteDuration()
                                   : this->clock.Now() - last->received_at;
    unreported.longest = std::max(unreported.longest, age);
    if (last == nullptr) continue;
    for (const wire::WorkspaceSpend& spend : last->report.spends) {
      if (!spend.__isset.bucket_level) continue;
      const auto level = static_cast<double>(spend.bucket_level);
      StatedLevel& stated =
          unreported.levels.try_emplace(spend.workspace, StatedLevel{level, 0})
              .first->second;
      stated.highest = std::max(stated.highest, level);
      ++stated.instances;
    }
  }
  return unreported;
}

// Whether the spending of the instance's previous process is known.
bool ReportAggregator::IsSuccessor(std::string_view incarnation,
                                   const ProcessReport& entry) const {
  return std::any_of(
      this->entries.begin(), this->entries.end(), [&](const auto& other) {
        return other.first != incarnation &&
               other.second.report.instance == entry.report.instance;
      });
}

void ReportAggregator::AddToSums(const std::string& incarnation,
                                 const ProcessReport& entry) {
  if (!this->sums_at.has_value()) return;
  for (const wire::WorkspaceSpend& spend : entry.report.spends) {
    this->sums.spends[spend.workspace] +=
        this->CountedTokens(entry, spend.tokens);
  }
  if (!this->IsCurrent(entry)) return;
  if (entry.report.listed) this->sums.instances += 1;
  this->sums.counted_reports[incarnation] = entry.report.sequence;
  for (const wire::TargetUse& use : entry.report.targets) {
    wire::TargetUse& sum = this->sums.uses[use.target];
    sum.requests += use.requests;
    sum.unread_tokens += use.unread_tokens;
  }
}

void ReportAggregator::SubtractFromSums(const std::string& incarnation,
                                        const ProcessReport& entry) {
  if (!this->sums_at.has_value()) return;
  // A new process changes which reports are missing; what was counted for a
  // record is not known any more.
  const bool is_new = entry.report.sequence == 0;
  if (is_new || entry.from_record) {
    this->sums_at.reset();
    return;
  }
  for (const wire::WorkspaceSpend& spend : entry.report.spends) {
    this->sums.spends[spend.workspace] -= spend.tokens;
  }
  if (this->sums.counted_reports.erase(incarnation) == 0) return;
  if (entry.report.listed) this->sums.instances -= 1;
  for (const wire::TargetUse& use : entry.report.targets) {
    wire::TargetUse& sum = this->sums.uses[use.target];
    sum.requests -= use.requests;
    sum.unread_tokens -= use.unread_tokens;
  }
}

// Sums are shared by many summaries: an instance's summary is the total less
// its own part, so that the work grows with the number of instances and not
// with its square.
void ReportAggregator::UpdateSums() {
  const Instant now = this->clock.Now();
  if (this->sums_at.has_value() && now - *this->sums_at < kSumsMaxAge) return;
  this->sums_at = now;
  this->RemoveExpired();
  this->sums = Sums();
  this->sums.unknown_shares = this->UnknownShares();
  this->sums.missing_part = this->MissingPart();
  this->sums.unreported = this->FindUnreported();
  for (const auto& [incarnation, entry] : this->entries) {
    this->AddToSums(incarnation, entry);
  }
}

// It is not known when recorded tokens were spent, and so not when they leave
// the window; they are discounted gradually.
std::int64_t ReportAggregator::CountedTokens(const ProcessReport& entry,
                                             std::int64_t tokens) const {
  if (!entry.from_record) return tokens;
  const double part = CountedFractionOfPriorSpending(
      this->clock.Now() - entry.received_at, this->spend_window);
  return static_cast<std::int64_t>(part * static_cast<double>(tokens));
}

std::vector<ProcessSpend> ReportAggregator::SpendingByProcess() {
  this->RemoveExpired();
  std::vector<ProcessSpend> all;
  for (const auto& [incarnation, entry] : this->entries) {
    // Most instances of a large fleet are on standby and have nothing to
    // record.
    if (entry.report.spends.empty() && !entry.report.listed) continue;
    ProcessSpend process;
    process.instance = entry.report.instance;
    process.incarnation = incarnation;
    process.listed = entry.report.listed;
    for (const wire::WorkspaceSpend& spend : entry.report.spends) {
      process.tokens[spend.workspace] =
          this->CountedTokens(entry, spend.tokens);
    }
    all.push_back(std::move(process));
  }
  return all;
}

void ReportAggregator::MergeSpendRecord(const SpendRecord& record) {
  for (const ProcessSpend& process : record.processes) {
    ProcessReport entry;
    entry.report.instance = process.instance;
    entry.report.incarnation = process.incarnation;
    entry.received_at = this->clock.Now();
    entry.from_record = true;
    for (const auto& [workspace, tokens] : process.tokens) {
      wire::WorkspaceSpend spend;
      spend.workspace = workspace;
      spend.tokens = static_cast<std::int64_t>((1 + kUnrecordedSpendingShare) *
                                               static_cast<double>(tokens));
      entry.report.spends.push_back(std::move(spend));
    }
    // A report of the process itself is newer than the record.
    this->entries.try_emplace(process.incarnation, std::move(entry));
  }
  this->sums_at.reset();
}

FleetSpending ReportAggregator::SpendingOf(const std::string& workspace) {
  this->UpdateSums();
  FleetSpending spend;
  const auto tokens = this->sums.spends.find(workspace);
  if (tokens != this->sums.spends.end()) {
    spend.total = static_cast<double>(tokens->second);
  }
  spend.instances = this->sums.instances;
  spend.unknown_shares = this->sums.unknown_shares;
  spend.unreported_fraction = this->sums.missing_part;
  const Unreported& unreported = this->sums.unreported;
  spend.unreported_for = unreported.longest;
  const auto level = unreported.levels.find(workspace);
  // An instance that states no level may spend its share of the window.
  const bool all_state_levels = level != unreported.levels.end() &&
                                level->second.instances == unreported.instances;
  if (all_state_levels) spend.unreported_level = level->second.highest;
  return spend;
}

wire::FleetSummary ReportAggregator::SummaryFor(
    const wire::InstanceReport& report) {
  this->UpdateSums();
  wire::FleetSummary summary;
  summary.instances = this->sums.instances;
  summary.unknown_shares = this->sums.unknown_shares;
  summary.missing_part = this->sums.missing_part;
  // The sums may be older than the instance's last report; the summary names
  // the report that they contain.
  const auto counted = this->sums.counted_reports.find(report.incarnation);
  if (counted != this->sums.counted_reports.end())
    summary.answers = counted->second;
  std::map<std::string_view, const wire::TargetUse*> own;
  for (const wire::TargetUse& use : report.targets) own[use.target] = &use;
  for (const auto& [target, total] : this->sums.uses) {
    wire::TargetUse others = total;
    const auto mine = own.find(target);
    if (mine != own.end()) {
      others.requests = std::max(0, total.requests - mine->second->requests);
      others.unread_tokens = std::max<std::int64_t>(
          0, total.unread_tokens - mine->second->unread_tokens);
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
  this->RemoveExpired();
  std::map<ModelName, FleetDemand> result;
  const Instant now = this->clock.Now();
  const absl::Duration observed = now - this->demand_since.value_or(now);
  for (auto item = this->demand.begin(); item != this->demand.end();) {
    if (item->second.IsNegligible(now)) {
      item = this->demand.erase(item);
      continue;
    }
    result[item->first].level = item->second.Level(observed, now);
    ++item;
  }
  for (const auto& [incarnation, entry] : this->entries) {
    if (!this->IsCurrent(entry)) continue;
    for (const wire::ModelWish& model_demand : entry.report.wishes) {
      result[{model_demand.service_name, model_demand.model,
              model_demand.adapter}]
          .waiting += model_demand.waiting;
    }
  }
  return result;
}

std::map<std::string, std::set<std::string>> ReportAggregator::ResidentsInUse()
    const {
  std::map<std::string, std::set<std::string>> in_use;
  for (const auto& [incarnation, entry] : this->entries) {
    if (!this->IsCurrent(entry)) continue;
    for (const wire::TargetUse& use : entry.report.targets) {
      in_use[use.target].insert(use.residents.begin(), use.residents.end());
    }
  }
  return in_use;
}

std::vector<ReceivedReport> ReportAggregator::RecentReports() {
  this->RemoveExpired();
  std::vector<ReceivedReport> reporters;
  for (const auto& [incarnation, entry] : this->entries) {
    if (!this->IsCurrent(entry)) continue;
    reporters.push_back({entry.report, entry.received_at});
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
