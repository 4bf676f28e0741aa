#ifndef DRAGONFLYGLADE_GATEWAY_STATEMENT_EXCHANGE_H_
#define DRAGONFLYGLADE_GATEWAY_STATEMENT_EXCHANGE_H_

#include <cstddef>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Passes on what targets state of themselves and concerns all instances: their
/// limits, that they are brittle, and that they leave. Each message has the
/// newest statements, as many as it has room for; the next one has others. Used
/// by one event loop.
class StatementExchange {
 public:
  StatementExchange(FleetState& fleet, Clock clock);

  void AddTo(wire::InstanceReport& report);
  void AddTo(wire::FleetSummary& summary);

  /// @return whether the report has a statement that was not known, or a
  ///   brittle target has declined a request that was not known
  bool Apply(const wire::InstanceReport& report);
  void Apply(const wire::FleetSummary& summary);

 private:
  std::vector<wire::TargetLimit> TargetLimits();
  bool ApplyTargetLimits(const std::vector<wire::TargetLimit>& limits);
  std::vector<wire::TargetProcess> LeavingTargets();
  bool ApplyLeavingTargets(const std::vector<wire::TargetProcess>& leaving);
  std::vector<wire::TargetBrittleness> BrittleTargets();
  bool ApplyBrittleTargets(const std::vector<wire::TargetBrittleness>& brittle);

  FleetState& fleet;
  const Clock clock;
  std::size_t next_limit = 0;    ///< position of the next limit to send
  std::size_t next_brittle = 0;  ///< the same of the brittle targets
  std::size_t next_leaving = 0;  ///< the same of the leaving targets
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STATEMENT_EXCHANGE_H_
