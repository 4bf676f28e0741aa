#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_CRASH_DETECTOR_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_CRASH_DETECTOR_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/crash_suspects.h"
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
  SentAs sent_as = SentAs::kRepeat;
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
                      TargetPaths& paths, CrashSuspects& crash_suspects,
                      Metrics& metrics, EventLog& log, Tasks& tasks,
                      Clock clock);

  /// Records that a connection to the target's process ended. Has no effect if
  /// the target is leaving or has no entry any more.
  void RecordEnded(const TargetCrash& process, EndedExchange exchange);

  /// Waits until it is known whether the process ended, and what other
  /// instances know of the request; some tenths of a second at most. To be
  /// called right after RecordEnded.
  /// @return whether the request may be sent to another target, as far as
  ///     crashes tell
  boost::asio::awaitable<bool> AwaitVerdict(TargetCrash process,
                                            std::string digest);

 private:
  using TargetProcess = std::pair<std::string, std::int64_t>;  ///< id, born_ms
  enum class Verdict { kCrashed, kLives, kUnknown };
  /// Of a target to which connections ended.
  struct Examination {
    explicit Examination(boost::asio::io_context& context) : done(context) {}
    std::vector<EndedExchange> ended;
    bool is_done = false;
    std::set<std::string> withheld;  ///< digests of requests
    AsyncCondition done;
  };

  boost::asio::awaitable<void> Examine(std::shared_ptr<TargetState> target,
                                       TargetCrash process);
  boost::asio::awaitable<Verdict> Probe(TargetState& target,
                                        std::int64_t born_ms);
  boost::asio::awaitable<void> HandleCrash(TargetState& target,
                                           const TargetCrash& crash,
                                           Examination& examination);
  /// @return the number of answers that were lost
  int HandleLives(const TargetCrash& process, const Examination& examination);
  /// Finds out whether a target that seemed to live was a new process.
  boost::asio::awaitable<void> RecheckLater(
      std::shared_ptr<TargetState> target, TargetCrash process,
      std::shared_ptr<Examination> examination);

  boost::asio::io_context& context;
  const WireFormat& wire;
  FleetState& fleet;
  FleetChannel& channel;
  TargetPaths& paths;
  CrashSuspects& crash_suspects;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  std::map<TargetProcess, std::shared_ptr<Examination>> examined;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_CRASH_DETECTOR_H_
