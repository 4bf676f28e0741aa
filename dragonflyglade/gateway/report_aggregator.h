#ifndef DRAGONFLYGLADE_GATEWAY_REPORT_AGGREGATOR_H_
#define DRAGONFLYGLADE_GATEWAY_REPORT_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/demand_trend.h"
#include "dragonflyglade/decision/quota_participants.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/spend_record.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// The present demand for a model or adapter, over all instances.
struct FleetDemand {
  DemandLevel level;
  int waiting = 0;  ///< requests that wait for it
};

/// A report and when it arrived.
struct ReceivedReport {
  wire::InstanceReport report;
  Instant at;
};

/// Aggregates the instances' reports at the leader, so that each instance
/// exchanges one report and one summary instead of messages with all others.
/// The state is not persistent: a new leader is complete after one round of
/// reports. Used by one event loop.
class ReportAggregator {
 public:
  /// @param owners the instances that share the quotas; updated by others
  /// @param spend_window for how long spent tokens count
  ReportAggregator(const QuotaParticipants& participants,
                   absl::Duration spend_window, Clock clock);

  /// Stores a report. One that is not newer than the process's last is ignored.
  void AddReport(const wire::InstanceReport& report);

  /// A summary for one instance: the requests of all others at each target, and
  /// the spending of all.
  /// @param report the instance's last report
  /// Complexity: O(targets). The sums, O(instances * targets), are computed
  /// once for all summaries within a few milliseconds.
  wire::FleetSummary SummaryFor(const wire::InstanceReport& report);

  /// What all instances spent of a workspace's quota.
  FleetSpending SpendingOf(const std::string& workspace);

  /// What each process spent in the window.
  std::vector<ProcessSpend> SpendingByProcess();

  /// Adds the spending from the previous leader's record, for processes that
  /// have not reported to this leader and may have terminated.
  void MergeSpendRecord(const SpendRecord& record);

  /// The demand, averaged over the last seconds.
  std::map<ModelName, FleetDemand> Demand();

  /// Models and adapters that requests use now, as "model" or
  /// "model/adapter", by target.
  std::map<std::string, std::set<std::string>> ResidentsInUse() const;

  /// The last report of each process whose reports are not overdue.
  std::vector<ReceivedReport> RecentReports();

  /// Forgets all reports and demand, after the leader lease ended.
  void Clear();

 private:
  struct ProcessReport {
    wire::InstanceReport report;
    Instant received_at;
    bool from_record = false;  ///< from a spend record, not from the process
  };

  /// The bucket level of a workspace that several instances stated.
  struct StatedLevel {
    double highest = 0;
    std::size_t instances = 0;
  };
  /// The instances that do not report and may be spending.
  struct Unreported {
    std::size_t instances = 0;
    absl::Duration longest;  ///< since a last report; infinite if unknown
    std::map<std::string, StatedLevel> levels;  ///< by workspace
  };

  /// Totals over the processes: the spending in the window, and the requests
  /// of those whose reports are not overdue.
  struct Sums {
    std::map<std::string, wire::TargetUse> uses;
    std::map<std::string, std::int64_t> spends;
    /// Sequence of the last report in the totals, by incarnation.
    std::map<std::string, std::int64_t> counted_reports;
    int instances = 0;
    double unknown_shares = 0;
    double missing_part = 0;
    Unreported unreported;
  };

  void UpdateSums();
  void AddToSums(const std::string& incarnation, const ProcessReport& entry);
  void SubtractFromSums(const std::string& incarnation,
                        const ProcessReport& entry);
  std::int64_t CountedTokens(const ProcessReport& entry,
                             std::int64_t tokens) const;
  bool IsCurrent(const ProcessReport& entry) const;
  void RemoveExpired();
  double UnknownShares() const;
  double MissingPart() const;
  Unreported FindUnreported() const;
  std::set<std::string_view> ReportingInstances() const;
  bool IsSuccessor(std::string_view incarnation,
                   const ProcessReport& entry) const;

  const QuotaParticipants& participants;
  const absl::Duration spend_window;
  const Clock clock;
  /// By incarnation: a restarted instance no longer knows what it spent before,
  /// which counts against the quota nevertheless.
  std::map<std::string, ProcessReport, std::less<>> entries;
  std::map<ModelName, DemandTrend> demand;
  std::optional<Instant> demand_since;  ///< time of the first reported demand
  Sums sums;
  std::optional<Instant> sums_at;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REPORT_AGGREGATOR_H_
