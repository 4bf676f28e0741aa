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
#include "dragonflyglade/decision/quota_participants.h"
#include "dragonflyglade/decision/quota_windows.h"
#include "dragonflyglade/decision/unreported_grants.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/report_aggregator.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Admits requests to workspaces' quotas: out of this instance's own part, or
/// by asking the holder of the placing duty, who sums up what all spent. As
/// holder, answers such questions. One event loop.
class QuotaAdmission {
 public:
  using TimeOfDay = std::function<absl::Time()>;
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;

  QuotaAdmission(boost::asio::io_context& context, FleetState& fleet,
                 QuotaParticipants& owners, QuotaWindows& quotas,
                 ReportAggregator& hub, const LeaderLease& duty,
                 InstanceRecord self, absl::Duration window, Metrics& metrics,
                 EventLog& log, Clock clock, TimeOfDay time_of_day);

  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// Counts the tokens of a request, or says when they will fit.
  boost::asio::awaitable<QuotaVerdict> Take(std::string_view request_id,
                                            std::string workspace,
                                            QuotaLimit limit, double tokens);

  /// Takes over which instances callers are sent to, this one among them or
  /// not, and since when.
  void UpdateParticipants();

  /// A request that was counted did not run.
  void GiveBack(std::string_view workspace, double tokens) {
    this->quotas.GiveBack(workspace, tokens);
  }

  /// Messages of other instances.
  void ReceiveAsk(const wire::QuotaAsk& ask);
  void ReceiveGrant(const wire::QuotaGrant& grant);

  /// As holder: a report came, which counts its process's grants.
  void Reported(const wire::InstanceReport& report);
  /// As holder: granted and not yet reported.
  double UnreportedGrantTokens(std::string_view workspace) {
    return this->ledger.Open(workspace);
  }
  /// As holder: the duty ended.
  void Clear() { this->ledger.Clear(); }

  /// All grants of this process up to this number are spent, or never will be.
  std::int64_t SettledThrough() const;

 private:
  /// A question without an answer yet.
  struct Open {
    std::optional<QuotaVerdict> verdict;
    Signal answered;

    explicit Open(boost::asio::io_context& context) : answered(context) {}
  };
  /// The holder's last refusal, which holds for a moment.
  struct Denial {
    Instant until;
    double tokens = 0;
  };

  /// Decides while nobody sums up.
  QuotaVerdict TakeUnheard(const std::string& workspace,
                           const QuotaLimit& limit, double tokens);
  /// Asks the holder, and counts what it grants.
  boost::asio::awaitable<std::optional<QuotaVerdict>> Ask(std::string workspace,
                                                          double tokens);
  std::optional<QuotaVerdict> DeniedBefore(std::string_view workspace,
                                           double tokens) const;
  void TakeOverSpending();
  /// @return nothing if too little is known yet
  std::optional<QuotaVerdict> Decide(const std::string& process,
                                     std::int64_t number,
                                     const std::string& workspace,
                                     double tokens);
  bool HearsReports(const FleetSpending& spend);
  bool MayAsk() const;

  boost::asio::io_context& context;
  FleetState& fleet;
  QuotaParticipants& owners;
  QuotaWindows& quotas;
  ReportAggregator& hub;
  const LeaderLease& duty;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  const TimeOfDay time_of_day;
  UnreportedGrants ledger;
  SendMessage send;
  std::int64_t last_number = 0;
  std::map<std::int64_t, Open> open;
  std::map<std::string, Denial, std::less<>> denials;
  std::optional<Instant> silent_since;
  bool looked_before = false;    ///< at what was spent before its start
  std::uint64_t duty_fence = 0;  ///< of the duty held last
  Instant duty_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_QUOTA_ADMISSION_H_
