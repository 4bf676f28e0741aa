#ifndef DRAGONFLYGLADE_MEASURE_MODEL_MEMBERSHIP_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_MEMBERSHIP_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/membership.h"

namespace dragonflyglade {

/// What a run is made of.
struct MembershipRun {
  std::size_t instances = 6;
  double message_loss = 0;
  absl::Duration length = absl::Minutes(2);
  /// When one instance dies without notice.
  absl::Duration kill_at = absl::Seconds(60);
  std::uint64_t seed = 1;
};

/// What a run showed.
struct MembershipResult {
  int false_deaths = 0;  ///< judgements "dead" of a living instance
  /// From the death until every instance judged it dead.
  absl::Duration death_known_after = absl::InfiniteDuration();
  /// From a piece of news at one instance until all had it.
  absl::Duration update_everywhere_after = absl::InfiniteDuration();
  double messages_per_second = 0;  ///< sent by an instance
  double updates_per_message = 0;
};

/// Membership objects that exchange heartbeats over a lossy network on a
/// virtual clock.
class MembershipFleet {
 public:
  explicit MembershipFleet(const MembershipRun& run);

  MembershipResult Run();

 private:
  struct Instance {
    std::unique_ptr<Membership> membership;
    bool alive = true;
    bool has_update = false;
  };

  void ProbeRound(std::size_t instance);
  bool Exchange(std::size_t from, std::size_t to);
  bool IsDelivered();
  void RecordVerdicts();

  const MembershipRun run;
  ManualClock manual;
  std::mt19937_64 random;
  std::vector<Instance> instances;
  std::int64_t messages = 0;
  std::int64_t updates = 0;
  std::map<std::pair<std::size_t, std::size_t>, bool> considered_dead;
  MembershipResult result;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_MEMBERSHIP_FLEET_H_
