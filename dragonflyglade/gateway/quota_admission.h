#ifndef DRAGONFLYGLADE_GATEWAY_QUOTA_ADMISSION_H_
#define DRAGONFLYGLADE_GATEWAY_QUOTA_ADMISSION_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/decision/quota_bucket.h"
#include "dragonflyglade/decision/quota_participants.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/decision/refused_callers.h"
#include "dragonflyglade/decision/unreported_grants.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// The tokens that a request was charged.
struct QuotaCharge {
  std::string workspace;
  double tokens = 0;
};

/// Admits requests to workspaces' quotas: out of this instance's own share, or
/// by a query to the leader, which knows what all instances spent. As leader,
/// decides on the other instances' queries. Used by one event loop.
class QuotaAdmission {
 public:
  using TimeOfDay = std::function<absl::Time()>;
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;

  QuotaAdmission(boost::asio::io_context& context, FleetState& fleet,
                 QuotaParticipants& participants, QuotaWindows& quotas,
                 ReportAggregator& aggregator, const LeaderLease& leader_lease,
                 InstanceRecord self, absl::Duration window, Metrics& metrics,
                 EventLog& log, Clock clock, TimeOfDay time_of_day,
                 std::function<double()> random);

  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// Reserves the tokens of a request, or returns when to retry.
  boost::asio::awaitable<QuotaVerdict> AdmitRequest(std::string_view request_id,
                                                    std::string workspace,
                                                    QuotaLimit limit,
                                                    double tokens);

  /// Updates which instances share the quotas, namely those that callers are
  /// sent to, and whether this one is among them.
  void UpdateParticipants();

  /// How many instances share what limits the fleet as a whole; at least one.
  /// An instance that was listed counts for a while after it was last seen,
  /// also by the processes before this one.
  int SharingInstances();

  /// Returns the tokens of a request that was admitted but did not run.
  void Refund(const QuotaCharge& charge) {
    this->quotas.Refund(charge.workspace, charge.tokens);
  }

  /// As leader: decides on another instance's query and sends the decision.
  void ReceiveAsk(const wire::QuotaAsk& ask);
  /// Applies the leader's decision on a query of this instance.
  void ReceiveGrant(const wire::QuotaGrant& grant);

  /// As leader: takes a process's spending out of the buckets, and removes the
  /// grants that its report counts as spent.
  void ReceiveReport(const wire::InstanceReport& report);
  /// As leader: adds the buckets' levels to a summary's spending.
  void AddBucketLevels(wire::FleetSummary& summary);
  /// As leader: tokens granted and not yet reported as spent.
  double UnreportedGrantTokens(std::string_view workspace) {
    return this->unreported_grants.UnreportedTokens(workspace);
  }
  /// Forgets all unreported grants and buckets, after the leader lease ended.
  void Clear() {
    this->unreported_grants.Clear();
    this->buckets.Clear();
  }

  /// The number through which all queries of this process have an outcome:
  /// their grants are counted as spent or will never be used.
  std::int64_t SettledThrough() const;

 private:
  /// A query that waits for the leader's decision.
  struct PendingQuery {
    std::optional<QuotaVerdict> verdict;
    AsyncCondition decided;

    explicit PendingQuery(boost::asio::io_context& context)
        : decided(context) {}
  };
  /// The leader's last denial for a workspace, which is reused for a short time
  /// for requests of at least the same size.
  struct Denial {
    Instant until;
    double tokens = 0;
  };

  /// Decides by this instance's own knowledge, when the leader cannot be
  /// queried.
  QuotaVerdict AdmitWithoutLeader(const std::string& workspace,
                                  const QuotaLimit& limit, double tokens);
  /// Queries the leader, and counts what it grants.
  /// @return nothing if no decision arrived in time
  boost::asio::awaitable<std::optional<QuotaVerdict>> QueryLeader(
      std::string workspace, double tokens);
  std::optional<QuotaVerdict> RecentDenial(std::string_view workspace,
                                           double tokens) const;
  void ApplySpendRecord();
  /// Decides as leader.
  /// @return nothing while too few instances have reported
  std::optional<QuotaVerdict> Decide(const std::string& process,
                                     std::int64_t number,
                                     const std::string& workspace,
                                     double tokens);
  bool HasEnoughReports(int reported_instances);
  /// What all instances spent of a workspace's quota, with unreported grants
  /// and the bucket's level.
  FleetSpending SpendingOf(const std::string& workspace,
                           const QuotaLimit& limit);
  bool MayQueryLeader() const;

  boost::asio::io_context& context;
  FleetState& fleet;
  QuotaParticipants& participants;
  QuotaWindows& quotas;
  ReportAggregator& aggregator;
  const LeaderLease& leader_lease;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  const TimeOfDay time_of_day;
  UnreportedGrants unreported_grants;
  QuotaBuckets buckets;
  RefusedCallers refused_callers;
  SendMessage send;
  std::int64_t last_number = 0;
  std::map<std::int64_t, PendingQuery> pending_queries;
  std::map<std::string, Denial, std::less<>> denials;
  std::optional<Instant> leader_unresponsive_since;
  bool spend_record_checked = false;    ///< whether the initial one was read
  std::uint64_t last_leader_token = 0;  ///< fencing token of the last lease
  Instant leader_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_QUOTA_ADMISSION_H_
