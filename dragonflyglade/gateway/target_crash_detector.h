#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_CRASH_DETECTOR_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_CRASH_DETECTOR_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/crashing_parts.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_channel.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/target_paths.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// A request whose connection to its target ended.
struct EndedExchange {
  std::string request_id;
  std::string digest;  ///< of the request, see DigestOf
  std::vector<PromptPart> shared_parts;
  /// Whether the target may have been beginning its answer.
  bool was_beginning = false;
  /// Whether the answer is complete if the target lives.
  bool may_be_complete = false;
};

/// Finds out whether a target's process ended when connections to it did, or
/// lives: then it refuses new connections, or accepts one. Used by one event
/// loop.
class TargetCrashDetector {
 public:
  TargetCrashDetector(boost::asio::io_context& context, const WireFormat& wire,
                      FleetState& fleet, FleetChannel& channel,
                      TargetPaths& paths, CrashingParts& crashing_parts,
                      Metrics& metrics, EventLog& log, Tasks& tasks,
                      Clock clock);

  /// Records that a connection to the target ended. Has no effect if the target
  /// is leaving or has no entry any more.
  void RecordEnded(const TargetRecord& target, EndedExchange exchange);

 private:
  using TargetProcess = std::pair<std::string, std::int64_t>;  ///< id, born_ms
  enum class Verdict { kCrashed, kLives, kUnknown };

  boost::asio::awaitable<void> Examine(std::shared_ptr<TargetState> target);
  boost::asio::awaitable<Verdict> Probe(TargetState& target,
                                        std::int64_t born_ms);
  void HandleCrash(TargetState& target, const TargetCrash& crash,
                   const std::vector<EndedExchange>& ended);
  void HandleLives(const TargetCrash& process,
                   const std::vector<EndedExchange>& ended);

  boost::asio::io_context& context;
  const WireFormat& wire;
  FleetState& fleet;
  FleetChannel& channel;
  TargetPaths& paths;
  CrashingParts& crashing_parts;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  /// The exchanges that ended, of the targets that are being examined.
  std::map<TargetProcess, std::vector<EndedExchange>> examined;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_CRASH_DETECTOR_H_
