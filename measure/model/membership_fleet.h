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

/// Parameters of a simulation run.
struct MembershipRun {
  std::size_t instances = 6;
  double message_loss = 0;  ///< probability that a message is lost
  absl::Duration length = absl::Minutes(2);
  /// When one instance is killed without leaving the group.
  absl::Duration kill_at = absl::Seconds(60);
  std::uint64_t seed = 1;
};

/// Results of a simulation run.
struct MembershipResult {
  int false_deaths = 0;  ///< running instances declared dead, per observer
  /// From the kill until every running instance has declared it dead.
  absl::Duration death_known_after = absl::InfiniteDuration();
  /// From an update at one instance until all running instances have it.
  absl::Duration update_everywhere_after = absl::InfiniteDuration();
  double messages_per_second = 0;  ///< sent per instance
  double updates_per_message = 0;
};

/// Simulates the membership protocol of a fleet on a virtual clock. Instances
/// exchange heartbeats over a network that loses messages.
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
