#ifndef DRAGONFLYGLADE_DECISION_PACING_TRIAL_H_
#define DRAGONFLYGLADE_DECISION_PACING_TRIAL_H_

#include <string_view>

namespace dragonflyglade {

/// Learns whether delays of prompts make fewer streams of a service late, by
/// comparing engines with and without delays. Not synchronised.
///
/// Where gaps stay above the objective whatever the delay, or below it without
/// one, a delay only postpones first outputs. A stream is late by the prompts
/// of all instances, so a stable hash tells all of them which engines they
/// compare: one in eight never gets delayed prompts, one in eight always does.
class PacingTrial {
 public:
  /// Whether prompts to the engine may be delayed. Until enough is known, they
  /// may.
  bool Delays(std::string_view engine) const;

  /// Records a stream that has ended.
  /// @param late whether a gap exceeded the objective
  void RecordStream(std::string_view engine, bool late);

 private:
  /// Moving average of the late share.
  struct LateShare {
    double share = 0;
    int streams = 0;

    void Record(bool late);
  };

  bool IsUseful() const;

  LateShare with_delays;
  LateShare without_delays;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_PACING_TRIAL_H_
