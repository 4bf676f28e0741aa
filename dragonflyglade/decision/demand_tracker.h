#ifndef DRAGONFLYGLADE_DECISION_DEMAND_TRACKER_H_
#define DRAGONFLYGLADE_DECISION_DEMAND_TRACKER_H_

#include <map>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// How many tokens a second this instance's callers ask of each model, as an
/// average that fades. Thread-safe.
class DemandTracker {
 public:
  /// @param memory time after which old demand counts for a third
  DemandTracker(absl::Duration memory, Clock clock);

  /// Callers asked for tokens of a model.
  void Add(std::string_view model, double tokens);

  /// Models with demand, in tokens a second.
  std::map<std::string, double> Rates();

 private:
  struct Average {
    double rate = 0;
    Instant at;
  };

  double Faded(const Average& average, Instant now) const;

  const absl::Duration memory;
  const Clock clock;
  absl::Mutex mutex;
  std::map<std::string, Average, std::less<>> averages ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_DEMAND_TRACKER_H_
