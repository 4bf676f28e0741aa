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

namespace dragonflyglade {

/// Where requests arrive.
enum class ArrivalPattern { kEven, kSkewed, kMoving };

/// Which way of sharing is measured.
enum class SharingMode {
  kBorrowing,    ///< the real one
  kStaticSplit,  ///< equal shares, no loans
  kOneOwner,     ///< one holder lends to all others
};

/// Something that happens to an instance of the model.
enum class FaultKind { kKill, kPause, kRestart, kPartition };
struct Fault {
  FaultKind kind = FaultKind::kKill;
  Instant at;
  std::size_t instance = 0;
  absl::Duration length;  ///< of a pause or cut
};

/// The instance that owns the workspace when there is one owner.
std::size_t OwnerIndex(std::size_t instances);

/// What a run is made of.
struct LimitsRun {
  std::size_t instances = 6;
  ArrivalPattern arrival = ArrivalPattern::kEven;
  SharingMode mode = SharingMode::kBorrowing;
  double rate = 20'000;
  double burst = 40'000;
  double cost = 1'200;
  absl::Duration length = absl::Seconds(60);
  absl::Duration max_wait = absl::Milliseconds(250);
  std::vector<Fault> faults;
  double message_loss = 0;
  /// Part of the cost that turns out not to be used by requests of the last
  /// phase before a pause; given back after up to two seconds.
  double unused_fraction = 0;
  /// Whether unused tokens are given back without looking at the past.
  bool naive_refund = false;
  /// Requests come in three of every four phases.
  absl::Duration phase_length = absl::Seconds(4);
  /// Requests come faster than the rate by this factor.
  double load_factor = 1;
  absl::Duration list_lag = absl::Seconds(10);
  bool kv_unavailable = false;
  std::uint64_t seed = 1;
};

/// What a run showed.
struct LimitsResult {
  int offered = 0;  ///< requests inside the rate
  int refused = 0;
  double overshoot = 0;  ///< tokens above burst + rate * t; negative if none
  std::int64_t messages = 0;
  int terminated_owner_refusals = 0;
  std::vector<HistoryEvent> history;
};

/// A fleet of share books on a virtual clock, with a network that delays and
/// loses messages, a list that lags, and an allotment that one keeper tends.
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
  std::multimap<Instant, std::function<void()>> events;
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
