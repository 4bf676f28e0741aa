#ifndef DRAGONFLYGLADE_DECISION_ENGINE_LEARNER_H_
#define DRAGONFLYGLADE_DECISION_ENGINE_LEARNER_H_

#include "absl/time/time.h"
#include "dragonflyglade/decision/engine_model.h"

namespace dragonflyglade {

/// Learns how fast the engines of a service are from the answers that this
/// instance saw. Each figure stays within a factor of ten of its start, so that
/// false load figures have a bounded effect. Not synchronised.
class EngineLearner {
 public:
  EngineLearner();

  /// Records the delay until the first output of a request.
  /// @param prediction by Figures() when the request was sent
  void RecordFirstOutput(const EnginePrediction& prediction,
                         absl::Duration delay);
  /// Records the longest gap between two events of a stream that has ended.
  void RecordLongestGap(const EnginePrediction& prediction,
                        const StreamObjective& objective, absl::Duration gap);

  const EngineFigures& Figures() const { return this->figures; }
  /// What nine of ten first outputs take at least, as a share of the predicted
  /// delay.
  double LowerBound() const { return this->lower_bound; }

 private:
  EngineFigures figures;
  double lower_bound;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_ENGINE_LEARNER_H_
