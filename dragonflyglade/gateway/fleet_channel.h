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
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/model_demand.h"
#include "dragonflyglade/gateway/quota_admission.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/gateway/store_relay.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/versioned_holdings.h"
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
               ModelDemand& demand, QuotaWindows& quotas, QuotaAdmission& desk,
               ReportAggregator& hub, const LeaderLease& duty,
               InstanceRecord self, bool first_start, StoreSyncState& news,
               StoreRelay& relay, Metrics& metrics, Tasks& tasks, Clock clock);

  /// Run until the process ends.
  boost::asio::awaitable<void> Receive();
  boost::asio::awaitable<void> Report();

  /// As holder: gives the summary to every reporter that has requests, a few
  /// milliseconds from now, once for all that happens until then.
  void SchedulePush();

  /// As holder: what is at the targets, for the summaries.
  VersionedHoldings& Holdings() { return this->holdings; }
  /// As holder: called when a report came with waiting requests.
  void OnWaitingRequests(std::function<void()> wake) {
    this->waiting = std::move(wake);
  }
  /// As holder: a target was seen to lack what it should hold.
  void OnMissingModel(std::function<void(const wire::TargetLack&)> act) {
    this->on_lack = std::move(act);
  }

  /// The duty ended: what was granted as holder is not counted here any more.
  void ClearGrants() { this->desk.Clear(); }

  /// Prompts were sent to a target: tells the other instances.
  void BroadcastSentPrompt(const std::string& target, double prompt_tokens);

  /// As holder: called for a target that refused a connection somewhere.
  void OnConnectionRefused(std::function<void(const std::string& target)> act) {
    this->on_refusing = std::move(act);
  }

  /// A target refused a connection: nobody listens there any more.
  void ReportConnectionRefused(const std::string& target);

  /// A target said that it lacks this.
  void ReportMissingModel(std::string_view target, const ModelName& name);

 private:
  boost::asio::awaitable<void> PushGathered();
  void TellUrgent();
  void FollowDuty();
  bool IsHolder() const;
  boost::asio::awaitable<void> AnnounceDuty();
  boost::asio::awaitable<void> TellEveryone();
  boost::asio::awaitable<void> TellReporters();
  boost::asio::awaitable<void> InParts(
      std::size_t count, const std::function<void(std::size_t)>& tell);
  void Answer(const wire::InstanceReport& report);
  wire::InstanceReport MakeReport();
  bool TellsSends() const;
  boost::asio::awaitable<void> TellSends();
  void TakeNote(const wire::SendNote& note);
  void Take(std::string_view datagram);
  void TakeReport(const wire::InstanceReport& report);
  void TakeSummary(const wire::FleetSummary& summary);
  void SendSummary(const wire::InstanceReport& report);
  void TakeUses(const wire::FleetSummary& summary);
  void TakeHoldings(const wire::FleetSummary& summary);
  void TakeSpends(const wire::FleetSummary& summary);
  void Send(const wire::FleetMessage& message, const std::string& address);

  boost::asio::io_context& context;
  boost::asio::ip::udp::socket& socket;
  FleetState& fleet;
  ModelDemand& demand;
  QuotaWindows& quotas;
  QuotaAdmission& desk;
  ReportAggregator& hub;
  const LeaderLease& duty;
  const InstanceRecord self;
  const bool first_start;
  StoreSyncState& news;
  StoreRelay& relay;
  Metrics& metrics;
  Tasks& tasks;
  const Clock clock;
  const Instant started;
  Signal wake;
  std::int64_t sequence = 0;
  /// What this instance had spent when it made a report, by its sequence.
  std::map<std::int64_t, std::map<std::string, double>> spent_at;
  VersionedHoldings holdings;
  /// What the holder said is at the targets, and its version of it.
  std::map<std::string, wire::TargetHoldings> told_holdings;
  std::string told_by;
  std::int64_t told_version = 0;
  std::function<void()> waiting;
  std::function<void(const wire::TargetLack&)> on_lack;
  std::function<void(const std::string&)> on_refusing;
  std::vector<wire::TargetLack> lacks;
  std::set<std::string> refusing;   ///< not reported yet
  std::uint64_t duty_revision = 0;  ///< that was followed
  bool push_pending = false;
  bool telling_everyone = false;
  bool tell_again = false;  ///< something came while everyone was told
  std::map<std::string, double> sends;  ///< not told yet, by target
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_FLEET_CHANNEL_H_
