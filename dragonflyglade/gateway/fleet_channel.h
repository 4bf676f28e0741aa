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
#include "dragonflyglade/decision/duty_lease.h"
#include "dragonflyglade/decision/quota_window.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/holdings_book.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/quota_desk.h"
#include "dragonflyglade/gateway/report_hub.h"
#include "dragonflyglade/gateway/store_news.h"
#include "dragonflyglade/gateway/store_relay.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Tells the placing instance what this one has and wants, and takes its
/// summary of the fleet, in datagrams. A lost one is made good by the next.
/// One event loop.
class FleetChannel {
 public:
  FleetChannel(boost::asio::io_context& context,
               boost::asio::ip::udp::socket& socket, FleetState& fleet,
               ModelDemand& demand, QuotaWindows& quotas, QuotaDesk& desk,
               ReportHub& hub, const DutyLease& duty, InstanceRecord self,
               bool first_start, StoreNews& news, StoreRelay& relay,
               Metrics& metrics, Tasks& tasks, Clock clock);

  /// Run until the process ends.
  boost::asio::awaitable<void> Receive();
  boost::asio::awaitable<void> Report();

  /// As holder: gives the summary to every reporter that has requests, a few
  /// milliseconds from now, once for all that happens until then.
  void PushSoon();

  /// As holder: what is at the targets, for the summaries.
  HoldingsBook& Holdings() { return this->holdings; }
  /// As holder: called when a report came with waiting requests.
  void OnWaiting(std::function<void()> wake) {
    this->waiting = std::move(wake);
  }
  /// As holder: a target was seen to lack what it should hold.
  void OnLack(std::function<void(const wire::TargetLack&)> act) {
    this->on_missing_model = std::move(act);
  }

  /// The duty ended: what was granted as holder is not counted here any more.
  void ForgetGrants() { this->desk.Clear(); }

  /// Prompts were sent to a target: tells the other instances.
  void NoteSent(const std::string& target, double prompt_tokens);

  /// As holder: called for a target that refused a connection somewhere.
  void OnRefusing(std::function<void(const std::string& target)> act) {
    this->on_connection_refused = std::move(act);
  }

  /// A target refused a connection: nobody listens there any more.
  void ReportRefusing(const std::string& target);

  /// A target said that it lacks this.
  void ReportLack(std::string_view target, const ModelName& name);

 private:
  boost::asio::awaitable<void> PushSummaries();
  void SendUrgentChanges();
  void CheckLeaderChange();
  bool IsLeader() const;
  boost::asio::awaitable<void> AnnounceLeadership();
  boost::asio::awaitable<void> NotifyReporters();
  boost::asio::awaitable<void> SendToReporters();
  boost::asio::awaitable<void> ForEachPaced(
      std::size_t count, const std::function<void(std::size_t)>& tell);
  void Answer(const wire::InstanceReport& report);
  wire::InstanceReport MakeReport();
  bool BroadcastsSentPrompts() const;
  boost::asio::awaitable<void> SendPromptNote();
  void ReceiveSendNote(const wire::SendNote& note);
  void Take(std::string_view datagram);
  void TakeReport(const wire::InstanceReport& report);
  void ReceiveSummary(const wire::FleetSummary& summary);
  void SendSummary(const wire::InstanceReport& report);
  void ApplyTargetUses(const wire::FleetSummary& summary);
  void ApplyHoldings(const wire::FleetSummary& summary);
  void ApplyFleetSpends(const wire::FleetSummary& summary);
  void Send(const wire::FleetMessage& message, const std::string& address);

  boost::asio::io_context& context;
  boost::asio::ip::udp::socket& socket;
  FleetState& fleet;
  ModelDemand& demand;
  QuotaWindows& quotas;
  QuotaDesk& desk;
  ReportHub& hub;
  const DutyLease& duty;
  const InstanceRecord self;
  const bool first_start;
  StoreNews& news;
  StoreRelay& relay;
  Metrics& metrics;
  Tasks& tasks;
  const Clock clock;
  const Instant started;
  Signal wake;
  std::int64_t sequence = 0;
  /// What this instance had spent when it made a report, by its sequence.
  std::map<std::int64_t, std::map<std::string, double>> spent_by_report;
  HoldingsBook holdings;
  /// What the holder said is at the targets, and its version of it.
  std::map<std::string, wire::TargetHoldings> known_holdings;
  std::string holdings_leader;
  std::int64_t known_holdings_version = 0;
  std::function<void()> waiting;
  std::function<void(const wire::TargetLack&)> on_missing_model;
  std::function<void(const std::string&)> on_connection_refused;
  std::vector<wire::TargetLack> lacks;
  std::set<std::string> refusing;     ///< not reported yet
  std::uint64_t leader_revision = 0;  ///< that was followed
  bool push_pending = false;
  bool notifying_reporters = false;
  bool notify_again = false;  ///< something came while everyone was told
  std::map<std::string, double> sends;  ///< not told yet, by target
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_FLEET_CHANNEL_H_
