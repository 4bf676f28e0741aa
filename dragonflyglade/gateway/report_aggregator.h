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
#include "dragonflyglade/decision/quota_participants.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/spend_record.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// How much callers ask for a model or adapter now, over all instances.
struct FleetDemand {
  double load = 0;  ///< engine time: 1 keeps one engine busy
  int waiting = 0;
};

/// Sums up what instances report, at the one that holds the placing duty, so
/// that each instance sends one message and gets one instead of speaking to
/// all others. What is kept is soft: a new holder knows all after a round of
/// reports. One event loop.
class ReportAggregator {
 public:
  /// @param owners who spends quotas, which others keep up to date
  /// @param spend_window how long what an instance spent still counts
  ReportAggregator(const QuotaParticipants& owners, absl::Duration spend_window,
                   Clock clock);

  /// Takes a report in. Older ones than the last from the process are dropped.
  void Take(const wire::InstanceReport& report);

  /// What the others have at each target, and what all spent.
  /// @param report the last one of the instance that asks
  /// Complexity: O(targets); summing up, O(instances * targets), is done once
  /// for all summaries of a moment.
  wire::FleetSummary SummaryFor(const wire::InstanceReport& report);

  /// What all instances spent of a workspace's quota.
  FleetSpending SpendingOf(const std::string& workspace);

  /// What each process spent in the window.
  std::vector<ProcessSpend> SpendingByProcess();

  /// Counts what processes spent that may have ended since, by the record of
  /// the holder before.
  void TakeOver(const SpendRecord& record);

  /// What is asked for, averaged over the last seconds.
  std::map<ModelName, FleetDemand> Demand();

  /// Models and adapters that requests use now, as "model" or
  /// "model/adapter", by target.
  std::map<std::string, std::set<std::string>> ResidentsInUse() const;

  /// The last reports of the instances heard lately.
  std::vector<wire::InstanceReport> RecentReports();

  /// Forgets all; the duty went elsewhere.
  void Clear();

 private:
  struct Entry {
    wire::InstanceReport report;
    Instant at;
    bool taken_over = false;  ///< from a record, not from the process
  };
  struct Average {
    double sum_ms = 0;
    Instant at;
  };

  /// What all instances that were heard have and spent together.
  struct Sums {
    std::map<std::string, wire::TargetUse> uses;
    std::map<std::string, std::int64_t> spends;
    std::map<std::string, std::int64_t> answers;  ///< by incarnation
    int instances = 0;
    double unknown_shares = 0;
    double missing_part = 0;
  };

  void SumUp();
  std::int64_t Counted(const Entry& entry, std::int64_t tokens) const;
  bool IsHeard(const Entry& entry) const;
  void DropOld();
  double UnknownShares() const;
  double MissingPart() const;
  bool IsSuccessor(std::string_view incarnation, const Entry& entry) const;
  void Decay(Average& average) const;

  const QuotaParticipants& owners;
  const absl::Duration spend_window;
  const Clock clock;
  /// By incarnation: an instance that was started anew has forgotten what it
  /// spent before, and the quota has not.
  std::map<std::string, Entry, std::less<>> entries;
  std::map<ModelName, Average> demand;
  std::optional<Instant> demand_since;  ///< of the first request reported
  Sums sums;
  std::optional<Instant> sums_at;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REPORT_AGGREGATOR_H_
