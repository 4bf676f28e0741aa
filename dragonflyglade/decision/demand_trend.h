#ifndef DRAGONFLYGLADE_DECISION_DEMAND_TREND_H_
#define DRAGONFLYGLADE_DECISION_DEMAND_TREND_H_

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The demand for a model in engine time (1 keeps one engine busy), and where
/// it is going.
struct DemandLevel {
  double average = 0;  ///< over the last seconds
  double recent = 0;   ///< over the last second
  double noise = 0;    ///< standard deviation of `recent` by chance
  /// Change a second that chance does not explain; 0 if there is none.
  double slope = 0;
};

/// Level and slope of the demand for one model, from the work that instances
/// report. Two exponentially decaying averages are compared: the short one
/// leads the long one while the demand changes. Not thread-safe.
class DemandTrend {
 public:
  /// Time constant of the average: long enough that a single large request
  /// does not move models.
  static constexpr absl::Duration kAverageTime = absl::Seconds(3);
  /// Time constant of the recent demand.
  static constexpr absl::Duration kRecentTime = absl::Seconds(1);

  explicit DemandTrend(Instant now);

  /// Adds reported work.
  /// @param work_ms engine time
  void Add(double work_ms, Instant now);

  /// The level and slope now.
  /// @param observed for how long reports have been added. The averages start
  ///   at zero; without it, models look idle in the first seconds.
  DemandLevel Level(absl::Duration observed, Instant now) const;

  /// Whether nearly nothing is left of the demand.
  bool IsNegligible(Instant now) const;

 private:
  void Decay(Instant now);

  Instant updated_at;
  double average_ms = 0;          ///< decays with kAverageTime
  double recent_ms = 0;           ///< decays with kRecentTime
  double recent_squares_ms2 = 0;  ///< decays with half of kRecentTime
};

/// The load for which copies are added: what is expected when a copy that
/// begins to load now is ready.
/// @param load_time how long loading takes. Of models that take as long as
///   kFixedLoadTime, the average decides.
double ExpectedLoad(const DemandLevel& level, absl::Duration load_time);

/// The load that the remaining copies must bear if one is evicted. Below the
/// average once a fall is clear.
double RemainingLoad(const DemandLevel& level, absl::Duration load_time);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_DEMAND_TREND_H_
