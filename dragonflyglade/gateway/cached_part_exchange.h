#ifndef DRAGONFLYGLADE_GATEWAY_CACHED_PART_EXCHANGE_H_
#define DRAGONFLYGLADE_GATEWAY_CACHED_PART_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <string>

#include "dragonflyglade/decision/cached_part_log.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/prompt_caches.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Passes on between instances which shared parts of prompts engines have read
/// or evicted: from each instance to the leader by reports, and from there to
/// the others by summaries. A part of a lost message is not sent again before
/// its engine has read it for another request. Used by one event loop.
class CachedPartExchange {
 public:
  CachedPartExchange(PromptCaches& caches, Clock clock);

  void AddTo(wire::InstanceReport& report);
  /// At the leader.
  void Apply(const wire::InstanceReport& report);
  /// @param report the receiver's last report
  void AddTo(wire::FleetSummary& summary, const wire::InstanceReport& report);
  void Apply(const wire::FleetSummary& summary);

 private:
  PromptCaches& caches;
  const Clock clock;
  std::uint64_t reported = 0;  ///< cursor in the parts of this instance
  CachedPartLog fleet_parts;   ///< of all reports, at the leader
  /// Cursors in these parts, by the receiver's incarnation.
  std::map<std::string, std::uint64_t> summarized;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CACHED_PART_EXCHANGE_H_
