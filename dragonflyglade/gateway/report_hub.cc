#include "dragonflyglade/gateway/report_hub.h"

#include <cmath>
#include <utility>

namespace dragonflyglade::gateway {
namespace {

// Reports come several times a second; after this the sender is gone, and its
// requests ended with it.
constexpr absl::Duration kReportHolds = absl::Milliseconds(1200);
// Demand is averaged over this time: long enough that single large requests
// do not move models, short against the seconds that a load takes.
constexpr absl::Duration kDemandMemory = absl::Seconds(3);
constexpr double kNothing = 1e-3;  // milliseconds of work

}  // namespace

ReportHub::ReportHub(Clock clock) : clock(std::move(clock)) {}

void ReportHub::Decay(Average& average) const {
  const Instant now = this->clock.Now();
  const double age = absl::FDivDuration(now - average.at, kDemandMemory);
  average.sum_ms *= std::exp(-age);
  average.at = now;
}

void ReportHub::Take(const wire::InstanceReport& report) {
  Entry& entry = this->entries[report.instance];
  const bool same_process = entry.report.incarnation == report.incarnation;
  if (same_process && report.sequence <= entry.report.sequence) return;
  entry.report = report;
  entry.at = this->clock.Now();
  for (const wire::ModelWish& wish : report.wishes) {
    const ModelName name{wish.service_name, wish.model, wish.adapter};
    const auto found =
        this->demand.try_emplace(name, Average{0, entry.at}).first;
    this->Decay(found->second);
    found->second.sum_ms += wish.work_ms;
  }
}

void ReportHub::DropSilent() {
  const Instant now = this->clock.Now();
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (now - entry->second.at > kReportHolds) {
      entry = this->entries.erase(entry);
    } else {
      ++entry;
    }
  }
}

wire::FleetSummary ReportHub::SummaryFor(std::string_view instance) {
  this->DropSilent();
  wire::FleetSummary summary;
  std::map<std::string, wire::TargetUse> uses;
  std::map<std::string, std::int64_t> spends;
  for (const auto& [name, entry] : this->entries) {
    for (const wire::WorkspaceSpend& spend : entry.report.spends) {
      spends[spend.workspace] += spend.tokens;
    }
    if (name == instance) {
      summary.answers = entry.report.sequence;
      continue;
    }
    for (const wire::TargetUse& use : entry.report.targets) {
      wire::TargetUse& sum = uses[use.target];
      sum.target = use.target;
      sum.requests += use.requests;
      sum.unread_tokens += use.unread_tokens;
    }
  }
  summary.instances = static_cast<std::int32_t>(this->entries.size());
  for (auto& [target, use] : uses) summary.targets.push_back(std::move(use));
  for (const auto& [workspace, tokens] : spends) {
    wire::WorkspaceSpend spend;
    spend.workspace = workspace;
    spend.tokens = tokens;
    summary.spends.push_back(std::move(spend));
  }
  return summary;
}

std::map<ModelName, FleetDemand> ReportHub::Demand() {
  this->DropSilent();
  std::map<ModelName, FleetDemand> result;
  const double memory_ms = absl::ToDoubleMilliseconds(kDemandMemory);
  for (auto item = this->demand.begin(); item != this->demand.end();) {
    this->Decay(item->second);
    if (item->second.sum_ms < kNothing) {
      item = this->demand.erase(item);
      continue;
    }
    result[item->first].load = item->second.sum_ms / memory_ms;
    ++item;
  }
  for (const auto& [name, entry] : this->entries) {
    for (const wire::ModelWish& wish : entry.report.wishes) {
      result[{wish.service_name, wish.model, wish.adapter}].waiting +=
          wish.waiting;
    }
  }
  return result;
}

std::vector<std::pair<std::string, std::string>> ReportHub::Reporters() {
  this->DropSilent();
  std::vector<std::pair<std::string, std::string>> reporters;
  for (const auto& [name, entry] : this->entries) {
    reporters.emplace_back(name, entry.report.address);
  }
  return reporters;
}

void ReportHub::Clear() {
  this->entries.clear();
  this->demand.clear();
}

}  // namespace dragonflyglade::gateway
