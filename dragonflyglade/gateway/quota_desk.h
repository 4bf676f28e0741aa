#ifndef DRAGONFLYGLADE_GATEWAY_QUOTA_DESK_H_
#define DRAGONFLYGLADE_GATEWAY_QUOTA_DESK_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/duty_lease.h"
#include "dragonflyglade/decision/quota_ledger.h"
#include "dragonflyglade/decision/quota_owners.h"
#include "dragonflyglade/decision/quota_window.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/report_hub.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Admits requests to workspaces' quotas: out of this instance's own part, or
/// by asking the holder of the placing duty, who sums up what all spent. As
/// holder, answers such questions. One event loop.
class QuotaDesk {
 public:
  using TimeOfDay = std::function<absl::Time()>;
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;

  QuotaDesk(boost::asio::io_context& context, FleetState& fleet,
            QuotaOwners& owners, QuotaWindows& quotas, ReportHub& hub,
            const DutyLease& duty, InstanceRecord self, absl::Duration window,
            Metrics& metrics, EventLog& log, Clock clock,
            TimeOfDay time_of_day);

  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// Counts the tokens of a request, or says when they will fit.
  boost::asio::awaitable<QuotaVerdict> Take(std::string_view request_id,
                                            std::string workspace,
                                            QuotaLimit limit, double tokens);

  /// Takes over which instances callers are sent to, this one among them or
  /// not, and since when.
  void FollowInstances();

  /// A request that was counted did not run.
  void GiveBack(std::string_view workspace, double tokens) {
    this->quotas.GiveBack(workspace, tokens);
  }

  /// Messages of other instances.
  void TakeAsk(const wire::QuotaAsk& ask);
  void TakeGrant(const wire::QuotaGrant& grant);

  /// As holder: a report came, which counts its process's grants.
  void Reported(const wire::InstanceReport& report);
  /// As holder: granted and not yet reported.
  double OpenGrants(std::string_view workspace) {
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
  QuotaVerdict AdmitWithoutLeader(const std::string& workspace,
                                  const QuotaLimit& limit, double tokens);
  /// Asks the holder, and counts what it grants.
  boost::asio::awaitable<std::optional<QuotaVerdict>> Ask(std::string workspace,
                                                          double tokens);
  std::optional<QuotaVerdict> RecentDenial(std::string_view workspace,
                                           double tokens) const;
  void ApplySpendRecord();
  /// @return nothing if too little is known yet
  std::optional<QuotaVerdict> Decide(const std::string& process,
                                     std::int64_t number,
                                     const std::string& workspace,
                                     double tokens);
  bool HasEnoughReports(const FleetSpend& spend);
  bool MayAskLeader() const;

  boost::asio::io_context& context;
  FleetState& fleet;
  QuotaOwners& owners;
  QuotaWindows& quotas;
  ReportHub& hub;
  const DutyLease& duty;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  const TimeOfDay time_of_day;
  QuotaLedger ledger;
  SendMessage send;
  std::int64_t last_number = 0;
  std::map<std::int64_t, Open> open;
  std::map<std::string, Denial, std::less<>> denials;
  std::optional<Instant> unresponsive_since;
  bool spend_record_checked = false;  ///< at what was spent before its start
  std::uint64_t leader_fencing_token = 0;  ///< of the duty held last
  Instant leader_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_QUOTA_DESK_H_
