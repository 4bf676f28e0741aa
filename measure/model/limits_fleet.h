#ifndef DRAGONFLYGLADE_MEASURE_MODEL_LIMITS_FLEET_H_
#define DRAGONFLYGLADE_MEASURE_MODEL_LIMITS_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dragonflyglade/decision/allotment.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "measure/history/history.h"
#include "measure/model/scheduled_events.h"

namespace dragonflyglade {

/// Distribution of the requests over the instances.
enum class ArrivalPattern {
  kEven,    ///< uniformly at random
  kSkewed,  ///< all to one instance while it runs
  kMoving   ///< all to one instance, which changes at random
};

/// How instances share the rate of a workspace.
enum class SharingMode {
  kBorrowing,    ///< the production algorithm
  kStaticSplit,  ///< equal shares, no loans
  kOneOwner,     ///< one owner of the whole rate lends to all others
};

/// A fault that is injected into one simulated instance.
enum class FaultKind { kKill, kPause, kRestart, kPartition };
struct Fault {
  FaultKind kind = FaultKind::kKill;
  Instant at;                ///< from the end of the warm-up
  std::size_t instance = 0;  ///< index, modulo the number of instances
  absl::Duration length;     ///< duration of a pause or network partition
};

/// Returns the index of the instance that owns the whole rate when there is
/// one owner.
std::size_t OwnerIndex(std::size_t instances);

/// Parameters of a simulation run. Rates are in tokens per second; burst and
/// cost are in tokens.
struct LimitsRun {
  std::size_t instances = 6;
  ArrivalPattern arrival = ArrivalPattern::kEven;
  SharingMode mode = SharingMode::kBorrowing;
  double rate = 20'000;
  double burst = 40'000;
  double cost = 1'200;  ///< of each request
  absl::Duration length = absl::Seconds(60);
  absl::Duration max_wait = absl::Milliseconds(250);
  std::vector<Fault> faults;
  double message_loss = 0;
  /// Fraction of the cost that requests admitted in the last phase before the
  /// idle phase do not use; refunded after up to two seconds.
  double unused_fraction = 0;
  /// Baseline that refunds unused tokens as if they had been charged just now,
  /// which ignores the bucket's overflow since the charge.
  bool naive_refund = false;
  /// Requests arrive in three of every four phases; the fourth is idle.
  absl::Duration phase_length = absl::Seconds(4);
  /// Offered load as a multiple of the rate.
  double load_factor = 1;
  /// Delay until a change of the instance list becomes visible.
  absl::Duration list_lag = absl::Seconds(10);
  /// Makes the key-value service unavailable from the end of the warm-up.
  bool kv_unavailable = false;
  std::uint64_t seed = 1;
};

/// Results of a simulation run.
struct LimitsResult {
  int offered = 0;  ///< requests within burst + load_factor * rate * t
  int refused = 0;
  double overshoot = 0;  ///< tokens above burst + rate * t; negative if none
  std::int64_t messages = 0;
  std::vector<HistoryEvent> history;
};

/// Simulates the distributed rate limiters of a fleet on a virtual clock. The
/// network delays and loses messages, the instance list lags behind, and one
/// process updates the allotment of the workspace's shares.
class LimitsFleet {
 public:
  explicit LimitsFleet(const LimitsRun& run);

  LimitsResult Run();

 private:
  struct Instance {
    std::int64_t incarnation = 1;
    std::unique_ptr<DistributedRateLimiter> limiter;
    bool alive = true;
    Instant paused_until;
    Instant partitioned_until;
  };

  void Schedule(Instant when, std::function<void()> action);
  int CurrentPhase() const;
  void GenerateRequest();
  void ContinueAdmission(std::size_t instance, std::int64_t incarnation,
                         std::shared_ptr<Admission> admission);
  void Borrow(std::size_t instance, std::int64_t incarnation,
              const std::shared_ptr<Admission>& admission,
              const BorrowFromPeer& step);
  void ReturnLoans(std::size_t instance, const OverRate& over);
  void UpdateAllotment();
  void ExchangeBalances();
  void InjectFault(const Fault& fault);
  void Restart(std::size_t instance);
  bool CanReach(std::size_t from, std::size_t to) const;
  Instant WakeTime(std::size_t instance) const;
  std::size_t ChooseInstance();
  absl::Duration DrawNetworkDelay();
  std::size_t IndexOf(const std::string& name) const;

  const LimitsRun run;
  ManualClock manual;
  Clock clock;
  std::mt19937_64 random;
  ScheduledEvents events;
  std::vector<Instance> instances;
  Allotment allotment;
  TerminatedOwners terminated_owners;
  std::vector<std::pair<Instant, std::set<std::string>>> list_history;
  TokenBucket reference_bucket;
  std::size_t preferred_instance = 0;
  LimitsResult result;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_MEASURE_MODEL_LIMITS_FLEET_H_
