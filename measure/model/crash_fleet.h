#ifndef DRAGONFLYGLADE_MEASURE_MODEL_CRASH_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_CRASH_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/answer_log.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/decision/crash_verdicts.h"

namespace dragonflyglade {

/// What confirms that a part crashes targets.
enum class CrashPolicy {
  kNothing,        ///< no part is ever refused
  kThreeCrashes,   ///< three crashes
  kAnsweredSince,  ///< three crashes, and no answer on the part in between
  kShare,          ///< see JudgePart
};

/// Which instances are killed, and when.
enum class CrashKills { kNone, kTenthEachSecond, kAllOnce };

struct CrashFleetOptions {
  int instances = 6;
  CrashPolicy policy = CrashPolicy::kAnsweredSince;
  double crashing_per_second = 2.5;  ///< requests with the part; 0: none
  /// The share of the targets that crash for another reason, one after the
  /// other, from second 20 on.
  double domain_share = 0;
  CrashKills kills = CrashKills::kNone;
  std::uint64_t seed = 1;
};

struct CrashFleetResult {
  int crashes = 0;    ///< of targets, by the part
  int late = 0;       ///< requests with it sent 3 s after the fifth crash
  int innocents = 0;  ///< sound parts that were confirmed
  double served = 0;  ///< share of the sound requests
  double bytes_per_second = 0;  ///< mean of an instance, over the whole time
  /// From the third crash until all instances refuse the part.
  std::optional<absl::Duration> until_refused;
};

/// A fleet in front of targets that one part of a prompt crashes, on a virtual
/// clock. Instances, targets and requests grow together.
class CrashFleet {
 public:
  explicit CrashFleet(CrashFleetOptions options);

  /// Plays 70 seconds.
  CrashFleetResult Run();

 private:
  struct Request {
    int instance = 0;
    std::vector<std::string> parts;
    bool crashing = false;
    Instant output_at;  ///< when the target begins to answer
    Instant ends_at;
    bool survival_recorded = false;
  };
  struct Target {
    std::int64_t born_ms = 0;
    std::vector<Request> running;
    std::optional<Instant> back_at;
  };
  struct Instance {
    std::unique_ptr<CrashAccount> crashes;
    std::unique_ptr<AnswerLog> survived;
    std::set<std::string> refused;
    std::set<std::string> judged;
    std::map<std::string, Instant> enough_since;  ///< by part
  };
  /// A crash that arrives at an owner, or a judgement that is due.
  struct Event {
    int instance = 0;
    std::string part;
    std::optional<TargetCrash> crash;  ///< nothing: the judgement
  };

  void Start(Instance& instance);
  void Step();
  void SendRequests();
  void Send(bool crashing);
  void StepTarget(std::size_t index);
  void Crash(std::size_t index, bool by_part);
  void TellOwners(const Request& request, const TargetCrash& crash);
  void RunEvents();
  void ScheduleJudgement(int instance, const std::string& part,
                         absl::Duration pause);
  void Judge(int owner, const std::string& part);
  void Confirm(const std::string& part);
  void Kill();
  double Uniform();

  const CrashFleetOptions options;
  ManualClock clock;
  std::mt19937 random;
  std::vector<std::string> names;
  std::vector<Instance> instances;
  std::vector<Target> targets;
  std::multimap<Instant, Event> events;
  std::set<std::string> recorded;         ///< in the store
  std::unique_ptr<RecentCrashes> recent;  ///< of all targets
  std::unique_ptr<AnswerLog> answers;     ///< of all instances
  CrashFleetResult result;
  std::optional<Instant> third_crash;
  std::optional<Instant> fifth_crash;
  double due_sound = 0;
  double due_crashing = 0;
  double bytes = 0;
  int sound = 0;
  int served = 0;
  int next_domain_target = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_CRASH_FLEET_H_
