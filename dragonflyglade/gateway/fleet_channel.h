#ifndef DRAGONFLYGLADE_GATEWAY_FLEET_CHANNEL_H_
#define DRAGONFLYGLADE_GATEWAY_FLEET_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leader_lease.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/cached_part_exchange.h"
#include "dragonflyglade/gateway/crash_suspects.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/prompt_caches.h"
#include "dragonflyglade/gateway/quota_admission.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/gateway/statement_exchange.h"
#include "dragonflyglade/gateway/store_relay.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/stream_origins.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/versioned_holdings.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Exchanges datagrams with other instances: sends this instance's reports to
/// the leader, receives the leader's summaries of the fleet, and sends them
/// while this instance is the leader. The next datagram makes up for a lost
/// one. Used by one event loop.
class FleetChannel {
 public:
  FleetChannel(boost::asio::io_context& context,
               boost::asio::ip::udp::socket& socket, FleetState& fleet,
               ModelDemand& demand, QuotaWindows& quotas,
               QuotaAdmission& quota_admission, ReportAggregator& aggregator,
               const LeaderLease& leader_lease, InstanceRecord self,
               bool first_start, StoreSyncState& sync_state, StoreRelay& relay,
               StreamOrigins& stream_origins, CrashSuspects& crash_suspects,
               PromptCaches& prompt_caches, Metrics& metrics, Tasks& tasks,
               Clock clock);

  /// Receives datagrams; runs until the process ends.
  boost::asio::awaitable<void> Receive();
  /// Sends reports; runs until the process ends.
  boost::asio::awaitable<void> Report();

  /// As leader: sends the summary to each reporting instance that has requests,
  /// a few milliseconds from now, or later if that takes long. Calls until then
  /// are merged into one push.
  void SchedulePush();

  /// As leader: the residency of the targets, for the summaries.
  VersionedHoldings& Holdings() { return this->holdings; }
  /// As leader: called when a report with waiting requests arrives.
  void OnWaitingRequests(std::function<void()> callback) {
    this->on_waiting_requests = std::move(callback);
  }
  /// As leader: called when an instance reports that a target lacks a model or
  /// adapter which should be resident there.
  void OnMissingModel(std::function<void(const wire::TargetLack&)> callback) {
    this->on_missing_model = std::move(callback);
  }

  /// Forgets the quota granted as leader, after the leader lease ended.
  void ClearGrants() { this->quota_admission.Clear(); }

  /// Notifies the other instances of a prompt that was sent to a target.
  void BroadcastSentPrompt(const std::string& target, double prompt_tokens);

  /// As leader: called when an instance reports a target that refused its
  /// connection.
  void OnConnectionRefused(
      std::function<void(const std::string& target)> callback) {
    this->on_connection_refused = std::move(callback);
  }

  /// Called when another instance tells that a target wants no requests.
  void OnRestNote(
      std::function<void(const wire::TargetRestNote& note)> callback) {
    this->on_rest_note = std::move(callback);
  }

  /// Sends a message to an instance's peer address.
  void Send(const wire::FleetMessage& message, const std::string& address);

  /// Reports to the leader that a target refused a connection, which means that
  /// no process listens there any more.
  void ReportConnectionRefused(const std::string& target);

  /// Reports to the leader at once that a target states another limit or
  /// another brittleness, says that it leaves, or is brittle and declined a
  /// request.
  void ReportStatementChange() { this->wake.Notify(); }

  /// Reports to the leader that a target responded that it lacks the model or
  /// adapter.
  void ReportMissingModel(std::string_view target, const ModelName& name);

 private:
  boost::asio::awaitable<void> PushSummaries();
  void SendUrgentChanges();
  void CheckLeaderChange();
  bool IsLeader() const;
  boost::asio::awaitable<void> AnnounceLeadership();
  boost::asio::awaitable<void> NotifyReporters();
  boost::asio::awaitable<void> SendToReporters();
  boost::asio::awaitable<void> ForEachPaced(
      std::size_t count, const std::function<void(std::size_t)>& send_to);
  void RespondToReport(const ReceivedReport& received);
  absl::Duration ReportInterval() const;
  wire::InstanceReport MakeReport();
  bool BroadcastsSentPrompts() const;
  boost::asio::awaitable<void> SendPromptNote();
  void ReceiveSendNote(const wire::SendNote& note);
  void ReceiveDatagram(std::string_view datagram);
  void ReceiveReport(const wire::InstanceReport& report);
  void ReceiveSummary(const wire::FleetSummary& summary);
  void SendSummary(const ReceivedReport& received);
  void ApplyTargetUses(const wire::FleetSummary& summary);
  void ApplyHoldings(const wire::FleetSummary& summary);
  void ApplyFleetSpends(const wire::FleetSummary& summary);

  boost::asio::io_context& context;
  boost::asio::ip::udp::socket& socket;
  FleetState& fleet;
  ModelDemand& demand;
  QuotaWindows& quotas;
  QuotaAdmission& quota_admission;
  ReportAggregator& aggregator;
  const LeaderLease& leader_lease;
  const InstanceRecord self;
  const bool first_start;
  StoreSyncState& sync_state;
  StoreRelay& relay;
  StreamOrigins& stream_origins;
  CrashSuspects& crash_suspects;
  PromptCaches& prompt_caches;
  CachedPartExchange cached_parts;
  StatementExchange statements;
  Metrics& metrics;
  Tasks& tasks;
  const Clock clock;
  const Instant started;
  AsyncCondition wake;
  std::int64_t sequence = 0;
  /// This instance's spending at the time of a report, by workspace.
  struct OwnSpending {
    std::map<std::string, double> in_window;
    std::map<std::string, double, std::less<>> totals;  ///< since the start
  };
  std::map<std::int64_t, OwnSpending> spent_by_report;  ///< by sequence
  VersionedHoldings holdings;
  /// The residency of the targets as received from the leader, the leader's
  /// incarnation, and its version of the data.
  std::map<std::string, wire::TargetHoldings> known_holdings;
  std::string holdings_leader;
  std::int64_t known_holdings_version = 0;
  std::function<void()> on_waiting_requests;
  std::function<void(const wire::TargetLack&)> on_missing_model;
  std::function<void(const std::string&)> on_connection_refused;
  std::function<void(const wire::TargetRestNote&)> on_rest_note;
  std::vector<wire::TargetLack> missing_models;
  std::set<std::string> refusing_targets;  ///< not reported yet
  std::uint64_t leader_revision = 0;       ///< of the last handled change
  bool push_pending = false;
  Instant next_push;  ///< the earliest time of the next push
  bool notifying_reporters = false;
  bool notify_again = false;  ///< a change is not sent to all reporters yet
  /// Tokens of prompts that other instances are not notified of yet, by target.
  std::map<std::string, double> pending_prompts;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_FLEET_CHANNEL_H_
