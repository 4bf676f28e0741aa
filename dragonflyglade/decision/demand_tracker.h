#ifndef DRAGONFLYGLADE_DECISION_DEMAND_TRACKER_H_
#define DRAGONFLYGLADE_DECISION_DEMAND_TRACKER_H_

#include <map>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// The rate, in tokens per second, at which callers of this instance request
/// each model, as an exponentially decaying average. Thread-safe.
class DemandTracker {
 public:
  /// @param time_constant time in which past demand decays to 1/e
  DemandTracker(absl::Duration time_constant, Clock clock);

  /// Adds tokens that a caller requested of a model.
  void Add(std::string_view model, double tokens);

  /// The rate of each model with demand, in tokens per second.
  std::map<std::string, double> Rates();

 private:
  struct Average {
    double rate = 0;
    Instant updated;
  };

  double Decayed(const Average& average, Instant now) const;

  const absl::Duration time_constant;
  const Clock clock;
  absl::Mutex mutex;
  std::map<std::string, Average, std::less<>> averages ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_DEMAND_TRACKER_H_
