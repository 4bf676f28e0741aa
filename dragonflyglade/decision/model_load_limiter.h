#ifndef DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_
#define DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// How many model loads the weight store accepts, and how late an order may
/// begin one.
struct ModelLoadLimiterOptions {
  absl::Duration window = absl::Seconds(5);
  double overage = 1;  ///< factor on the rate over a window
  /// Least time between the last order of one leader and the first of the next.
  absl::Duration leader_handover_delay = absl::Seconds(3);
  /// The longest time after which an engine carries out an order that it did
  /// not answer.
  absl::Duration max_order_delay = absl::Seconds(12);
};

/// What an engine's process must have in common with an order to carry it out.
/// It carries out at most one order with the same key.
struct EngineOrderKey {
  std::string engine;
  std::int64_t born_ms = 0;       ///< start time of the engine's process
  std::int64_t orders_taken = 0;  ///< that the process accepted before

  bool operator<(const EngineOrderKey& other) const {
    return std::tie(this->engine, this->born_ms, this->orders_taken) <
           std::tie(other.engine, other.born_ms, other.orders_taken);
  }
};

/// Limits how many model loads begin in any window to what the weight store
/// allows, also across a change of leader. Not synchronised.
///
/// The limit is on when engines begin loads, which is not when they are
/// ordered. So a load counts from before its order is sent until a window after
/// the latest time at which it can have begun. That time is known once the
/// engine has answered the order, or has shown that it accepted another one in
/// its place.
///
/// A new leader does not know the loads that its predecessor ordered. So at any
/// time a leader has no more than a third of a window's loads open, which may
/// still begin, and has begun no more than half of them, with these, within the
/// part of a window that is longer than the handover delay. Each new leader
/// counts as many.
class ModelLoadLimiter {
 public:
  ModelLoadLimiter(ModelLoadLimiterOptions options, Clock clock);

  /// To be called when this instance may give orders as leader, repeatedly.
  /// @param fence_token of its lease; a new one means that another instance
  ///     may have been leader
  /// @return whether the token is new
  bool OnLeadership(std::uint64_t fence_token, double loads_per_second);

  /// Counts a load that is about to be ordered.
  void RecordOrdering(const EngineOrderKey& order);
  /// The order was accepted: its load has begun.
  void RecordBegun(const EngineOrderKey& order);
  /// The order was not accepted, and will not be. Earlier ones with its key may
  /// be.
  void RecordNotBegun(const EngineOrderKey& order);
  /// The order is no longer sent and may be accepted late.
  void RecordUnanswered(const EngineOrderKey& order);
  /// Another order with this key was accepted, so no load begins by any.
  void RecordVoid(const EngineOrderKey& order);
  /// The engine's process has accepted this many orders: loads by earlier ones
  /// have begun or never will.
  void RecordOrdersTaken(std::string_view engine, std::int64_t born_ms,
                         std::int64_t orders_taken);

  /// Whether a load with this key counts already.
  bool IsCounted(const EngineOrderKey& order) const;

  /// How many loads may be ordered now.
  int RemainingLoads(double loads_per_second);

  /// Loads that count now.
  int CountedLoads() const;
  /// Those of them, of this leader, that may still begin.
  int OpenLoads() const;

 private:
  struct CountedLoad {
    bool is_sending = false;
    /// The latest time at which it can have begun, apart from the order that is
    /// being sent.
    std::optional<Instant> latest_begin;

    Instant LatestBegin() const {
      return this->is_sending
                 ? absl::InfiniteDuration()
                 : this->latest_begin.value_or(-absl::InfiniteDuration());
    }
  };

  int AllowedPerWindow(double loads_per_second) const;
  int LoadsThatMayBeginSince(Instant time) const;
  void RemoveEnded();

  const ModelLoadLimiterOptions options;
  const Clock clock;
  std::optional<std::uint64_t> fence_token;
  std::map<EngineOrderKey, CountedLoad> loads;
  /// The latest times at which loads of earlier leaders can have begun.
  std::vector<Instant> assumed_loads;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_MODEL_LOAD_LIMITER_H_
