#ifndef DRAGONFLYGLADE_GATEWAY_CRASH_SUSPECTS_H_
#define DRAGONFLYGLADE_GATEWAY_CRASH_SUSPECTS_H_

#include <boost/asio/io_context.hpp>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/crash_judge.h"
#include "dragonflyglade/gateway/crash_reports.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/refused_suspects.h"
#include "dragonflyglade/gateway/request_trials.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Finds, together with the other instances, the parts of prompts and the
/// requests that crash targets, and keeps them from further targets. Used by
/// one event loop.
///
/// Each suspect has owners among the instances. `reports` tells them of each
/// crash, `judge` decides, `refused` knows what is refused and tells all
/// others, and `trials` lets a request that is held back show that it is sound.
class CrashSuspects {
 public:
  CrashSuspects(boost::asio::io_context& context, FleetState& fleet,
                StoreClient& store, const InstanceRecord& self,
                Metrics& metrics, EventLog& log, Tasks& tasks, Clock clock,
                const RefusedSuspects::TimeOfDay& time_of_day)
      : refused(context, fleet, store, self, metrics, log, clock, time_of_day),
        judge(context, fleet, refused, self, log, tasks, clock),
        reports(context, fleet, refused, judge, self, clock),
        trials(context, refused, store, self.name, log, clock) {}

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(const RefusedSuspects::SendMessage& send) {
    this->refused.OnSend(send);
    this->judge.OnSend(send);
    this->reports.OnSend(send);
  }

  /// Applies or answers another instance's message.
  void Receive(const wire::FleetMessage& message) {
    this->refused.Receive(message);
    this->judge.Receive(message);
    this->reports.Receive(message);
  }

  RefusedSuspects refused;
  CrashJudge judge;
  CrashReports reports;
  RequestTrials trials;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CRASH_SUSPECTS_H_
