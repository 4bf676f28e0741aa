#ifndef DRAGONFLYGLADE_GATEWAY_PROMPT_CACHE_READER_H_
#define DRAGONFLYGLADE_GATEWAY_PROMPT_CACHE_READER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/prompt_cache_calls.h"
#include "dragonflyglade/decision/prompt_cache_follower.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/gateway_settings.h"
#include "dragonflyglade/gateway/prompt_caches.h"
#include "dragonflyglade/gateway/target_exchange.h"
#include "dragonflyglade/gateway/target_paths.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Reads the events by which engines say what they have cached, if the setting
/// enables it. Two of the listed instances read those of each engine. Used by
/// one event loop.
class PromptCacheReader {
 public:
  /// @param wall_clock as of other instances, to divide the lists among them
  PromptCacheReader(boost::asio::io_context& context,
                    const GatewaySettings& settings, const WireFormat& wire,
                    FleetState& fleet, PromptCaches& caches, TargetPaths& paths,
                    Metrics& metrics, Tasks& tasks, Clock clock,
                    std::function<absl::Time()> wall_clock);

  /// Follows the engines that are this instance's to read, for ever.
  boost::asio::awaitable<void> Run();

 private:
  boost::asio::awaitable<void> Follow(std::string engine);
  boost::asio::awaitable<void> FollowWhileOwned(std::string engine);
  boost::asio::awaitable<PromptCacheCallOutcome> Call(
      TargetState& engine, PromptCacheFollower& follower);
  PromptCacheCallOutcome Evaluate(const ExchangeOutcome& outcome, bool is_list,
                                  const TargetRecord& engine,
                                  PromptCacheFollower& follower);
  void RefreshListed();
  /// Whether this instance reads the engine's events.
  bool Owns(const TargetRecord& engine);
  bool MayList();

  boost::asio::io_context& context;
  const GatewaySettings& settings;
  const WireFormat& wire;
  FleetState& fleet;
  PromptCaches& caches;
  TargetPaths& paths;
  Metrics& metrics;
  Tasks& tasks;
  const Clock clock;
  const std::function<absl::Time()> wall_clock;
  PromptCacheListLimiter list_limiter;
  std::vector<std::string> listed;  ///< names of instances, sorted
  /// By engine, among these instances.
  std::map<std::string, bool, std::less<>> owned;
  std::set<std::string> followed;  ///< engines
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_PROMPT_CACHE_READER_H_
