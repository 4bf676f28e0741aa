#include "dragonflyglade/decision/target_registry.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Age at which the weight of a load report has fallen to 1/e.
constexpr absl::Duration kReportWeightDecay = absl::Milliseconds(500);
// Slots of a target that does not report their number.
constexpr double kAssumedSlots = 16;
// Cost per token of the request that a full batch adds.
constexpr double kFullBatchCost = 0.5;
// Cost per token of the request that each request waiting at the target adds.
constexpr double kWaitingRequestCost = 2;
// Share of the free slots in a report that the instances use. Reports overlap:
// the next one does not yet include requests sent after this one.
constexpr double kSpareSlotShare = 0.5;

bool IsResident(const LoadReport& report, const TargetRequirements& wanted) {
  const auto has = [&report](const std::string& name) {
    return name.empty() || report.resident.count(name) > 0;
  };
  return has(wanted.model) && has(wanted.adapter);
}

}  // namespace

TargetRegistry::TargetRegistry(TargetOptions options, Clock clock,
                               std::uint64_t seed)
    : options(options), clock(clock) {
  for (Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    shard.random.seed(seed++);
  }
}

TargetRegistry::Shard& TargetRegistry::ShardOf(std::string_view pool) {
  return this->shards[StableHash(pool) % kShards];
}

TargetRegistry::Target* TargetRegistry::Find(Shard& shard,
                                             std::string_view pool,
                                             std::string_view target) {
  const auto targets = shard.pools.find(pool);
  if (targets == shard.pools.end()) return nullptr;
  const auto found = targets->second.find(target);
  return found == targets->second.end() ? nullptr : &found->second;
}

void TargetRegistry::ApplyTargetList(std::int64_t version,
                                     const std::vector<ListedTarget>& list) {
  absl::MutexLock list_lock(&this->list_mutex);
  if (version < this->list_version) return;
  this->list_version = version;
  std::set<std::string, std::less<>> names;
  for (const ListedTarget& listed : list) {
    names.insert(listed.name);
    Shard& shard = this->ShardOf(listed.pool);
    absl::MutexLock lock(&shard.mutex);
    shard.pools[listed.pool][listed.name].listed = listed;
  }
  for (Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (auto& [pool, targets] : shard.pools) {
      for (auto it = targets.begin(); it != targets.end();) {
        const bool removable =
            names.count(it->first) == 0 && it->second.in_flight == 0;
        if (removable) {
          it = targets.erase(it);
          continue;
        }
        if (names.count(it->first) == 0) it->second.listed.leaving = true;
        ++it;
      }
    }
  }
}

void TargetRegistry::ApplyLoadReport(std::string_view pool,
                                     std::string_view target,
                                     LoadReport report) {
  Shard& shard = this->ShardOf(pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, pool, target);
  if (found == nullptr) return;
  // A target's prompt cache is empty after a restart.
  if (found->report.boot_id != report.boot_id) found->prefixes.clear();
  found->report_at = this->clock.Now() - report.lag;
  found->in_flight_at_report = found->in_flight;
  const double spare_slots = kSpareSlotShare *
                             std::max(0, report.slots - report.running) /
                             static_cast<double>(this->instance_count);
  // Rounded up or down at random, so that all instances together use their
  // exact share on average.
  found->spare_slots =
      static_cast<int>(spare_slots + absl::Uniform(shard.random, 0.0, 1.0));
  found->report = std::move(report);
}

// Failure: instances send a mark to one another and each renews it, so that the
// target stays marked as leaving forever. Therefore a mark that is passed on
// keeps the time at which the target was first seen leaving, and expires.
void TargetRegistry::MarkLeaving(std::string_view target, absl::Duration age) {
  const Instant now = this->clock.Now();
  if (age >= this->options.leaving_mark_ttl) return;
  absl::MutexLock lock(&this->leaving_mutex);
  const auto [found, added] =
      this->leaving_since.emplace(std::string(target), now - age);
  const bool expired = now - found->second >= this->options.leaving_mark_ttl;
  if (!added && expired) found->second = now - age;
}

std::map<std::string, absl::Duration> TargetRegistry::LeavingTargets() const {
  absl::MutexLock lock(&this->leaving_mutex);
  std::map<std::string, absl::Duration> ages;
  const Instant now = this->clock.Now();
  for (const auto& [target, since] : this->leaving_since) {
    if (now - since < this->options.leaving_mark_ttl) {
      ages[target] = now - since;
    }
  }
  return ages;
}

bool TargetRegistry::IsMarkedLeaving(std::string_view target) const {
  absl::MutexLock lock(&this->leaving_mutex);
  const auto found = this->leaving_since.find(target);
  return found != this->leaving_since.end() &&
         this->clock.Now() - found->second < this->options.leaving_mark_ttl;
}

bool TargetRegistry::IsEjected(const Target& target, Instant now) const {
  return now < target.ejected_until;
}

// Failure: a target that returns after an ejection gets the whole backlog at
// once and fails again. Its limit of requests in flight grows from one to the
// full limit over the recovery time, so few requests fail if it still is
// faulty.
int TargetRegistry::InFlightLimit(const Target& target, Instant now) const {
  const absl::Duration since_return = now - target.ejected_until;
  if (since_return >= this->options.recovery_ramp)
    return this->options.max_in_flight;
  const double fraction =
      absl::FDivDuration(since_return, this->options.recovery_ramp);
  const double limit = fraction * this->options.max_in_flight;
  return std::max(1, static_cast<int>(std::floor(limit)));
}

void TargetRegistry::SetInstanceCount(int instances) {
  this->instance_count = std::max(1, instances);
}

// Failure: every instance sends as many requests to a target as its limit
// allows. They wait at the engine in order of arrival, so a burst of one
// workspace delays all others although the queue of each instance is fair. To
// keep the backlog in the instances' queues, each instance uses only an equal
// share of a target's slots, plus an equal share of the slots that a report
// shows as free.
bool TargetRegistry::HasFreeSlot(const Target& target, Instant now) const {
  if (target.in_flight >= this->InFlightLimit(target, now)) return false;
  if (target.report.slots <= 0) return true;
  const int equal_share =
      std::max(1, target.report.slots / this->instance_count);
  if (target.in_flight < equal_share) return true;
  return target.in_flight < target.in_flight_at_report + target.spare_slots;
}

// Estimates how many requests the target has from all instances. The report
// counts the requests of all instances but may be old. This instance's requests
// are known exactly, and other instances have about as many each. The weight of
// the report decreases with its age.
double TargetRegistry::EstimatedRequests(const Target& target,
                                         Instant now) const {
  const double own_estimate =
      static_cast<double>(target.in_flight) * this->instance_count;
  const absl::Duration age = now - target.report_at;
  if (age == absl::InfiniteDuration()) return own_estimate;
  const double report_weight =
      std::exp(-std::max(0.0, absl::FDivDuration(age, kReportWeightDecay)));
  const double reported_requests =
      target.report.running + target.in_flight - target.in_flight_at_report;
  return report_weight * std::max(0.0, reported_requests) +
         (1 - report_weight) * own_estimate;
}

// An estimate: cache events arrive late and incomplete, and a busy engine
// evicts prefixes after a while.
bool TargetRegistry::IsLikelyCached(const Target& target, std::uint64_t prefix,
                                    Instant now) const {
  if (prefix == 0) return false;
  const auto seen = target.prefixes.find(prefix);
  return seen != target.prefixes.end() &&
         now - seen->second < this->options.prefix_hint_ttl;
}

// The expected wait at the target, expressed in tokens. Requests in its batch
// delay a new one only a little, requests that wait for a slot delay it much.
double TargetRegistry::Cost(const Target& target,
                            const TargetRequirements& wanted,
                            Instant now) const {
  const double requests = this->EstimatedRequests(target, now);
  const double slots =
      target.report.slots > 0 ? target.report.slots : kAssumedSlots;
  double cost = kFullBatchCost * wanted.tokens * requests / slots;
  cost +=
      kWaitingRequestCost * wanted.tokens * std::max(0.0, requests + 1 - slots);
  if (target.listed.zone != wanted.zone) {
    cost += this->options.zone_penalty_tokens;
  }
  if (this->IsLikelyCached(target, wanted.prefix, now)) {
    cost -= this->options.prefix_bonus_tokens;
  }
  return cost;
}

// The target that all instances prefer for requests with this prefix, so that
// one target has the prefix in its cache. Rendezvous hashing gives the same
// result on all instances without messages between them. Empty if there is
// none.
std::string TargetRegistry::PreferredTarget(
    const std::map<std::string, Target, std::less<>>& targets,
    const TargetRequirements& wanted) {
  if (wanted.prefix == 0) return {};
  std::string preferred;
  std::uint64_t max_weight = 0;
  for (const auto& [name, target] : targets) {
    if (!IsResident(target.report, wanted) || target.listed.leaving) continue;
    const std::uint64_t weight = StableHash(name, wanted.prefix);
    if (!preferred.empty() && weight <= max_weight) continue;
    preferred = name;
    max_weight = weight;
  }
  return preferred;
}

std::variant<TargetReservation, ReservationError> TargetRegistry::ReserveTarget(
    const TargetRequirements& wanted) {
  Shard& shard = this->ShardOf(wanted.pool);
  absl::MutexLock lock(&shard.mutex);
  const auto targets = shard.pools.find(wanted.pool);
  if (targets == shard.pools.end() || targets->second.empty()) {
    return ReservationError::kUnknownPool;
  }
  const Instant now = this->clock.Now();
  const std::string preferred = this->PreferredTarget(targets->second, wanted);
  bool resident = false;
  bool busy = false;
  Target* best = nullptr;
  double best_cost = 0;
  for (auto& [name, target] : targets->second) {
    if (!IsResident(target.report, wanted)) continue;
    resident = true;
    if (target.listed.leaving || this->IsMarkedLeaving(name)) continue;
    if (this->IsEjected(target, now) || wanted.avoid.count(name) > 0) continue;
    if (!this->HasFreeSlot(target, now)) {
      busy = true;
      continue;
    }
    // Ties are broken at random, so that instances with the same information do
    // not all choose the same target.
    const double jitter = absl::Uniform(shard.random, 0.0, 1.0);
    double cost = this->Cost(target, wanted, now) + jitter;
    if (name == preferred) cost -= this->options.prefix_bonus_tokens;
    if (best != nullptr && cost >= best_cost) continue;
    best = &target;
    best_cost = cost;
  }
  if (best == nullptr) {
    if (busy) return ReservationError::kBusy;
    return resident ? ReservationError::kUnreachable
                    : ReservationError::kNotResident;
  }
  ++best->in_flight;
  best->outstanding += wanted.tokens;
  return TargetReservation{best->listed.name, wanted.pool, best->listed.address,
                           best->listed.port, wanted.tokens};
}

void TargetRegistry::ReleaseTarget(const TargetReservation& reservation,
                                   RequestOutcome outcome) {
  Shard& shard = this->ShardOf(reservation.pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, reservation.pool, reservation.target);
  if (found == nullptr) return;
  Target& target = *found;
  target.in_flight = std::max(0, target.in_flight - 1);
  target.outstanding = std::max(0.0, target.outstanding - reservation.tokens);
  if (outcome == RequestOutcome::kSucceeded) {
    target.failures = 0;
    const Instant now = this->clock.Now();
    if (now - target.ejected_until >= this->options.recovery_ramp) {
      target.ejections = 0;
    }
  }
  if (outcome != RequestOutcome::kTargetFault) return;
  // A target that has just returned is ejected again after one failure.
  // Otherwise as many requests would fail after each return as before the first
  // ejection.
  const bool on_trial =
      this->clock.Now() - target.ejected_until < this->options.recovery_ramp;
  if (++target.failures < this->options.failures_to_eject && !on_trial) return;
  const absl::Duration ejection_time = std::min(
      this->options.max_ejection,
      this->options.ejection * std::pow(2.0, std::min(target.ejections, 10)));
  target.ejected_until = this->clock.Now() + ejection_time;
  target.failures = 0;
  ++target.ejections;
}

void TargetRegistry::RecordCachedPrefix(std::string_view pool,
                                        std::string_view target,
                                        std::uint64_t prefix) {
  if (prefix == 0) return;
  Shard& shard = this->ShardOf(pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, pool, target);
  if (found == nullptr) return;
  if (found->prefixes.size() >= kMaxPrefixes) {
    found->prefixes.erase(found->prefixes.begin());
  }
  found->prefixes[prefix] = this->clock.Now();
}

void TargetRegistry::ForgetCachedPrefix(std::string_view pool,
                                        std::string_view target,
                                        std::uint64_t prefix) {
  Shard& shard = this->ShardOf(pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, pool, target);
  if (found != nullptr) found->prefixes.erase(prefix);
}

std::vector<TargetStatus> TargetRegistry::Status() const {
  std::vector<TargetStatus> all;
  const Instant now = this->clock.Now();
  for (const Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [pool, targets] : shard.pools) {
      for (const auto& [name, target] : targets) {
        TargetStatus status;
        status.listed = target.listed;
        status.in_flight = target.in_flight;
        status.outstanding_tokens = target.outstanding;
        status.ejected = this->IsEjected(target, now);
        status.leaving = target.listed.leaving || this->IsMarkedLeaving(name);
        status.report_age = now - target.report_at;
        status.boot_id = target.report.boot_id;
        status.role = target.report.role;
        status.resident = target.report.resident;
        all.push_back(std::move(status));
      }
    }
  }
  return all;
}

}  // namespace dragonflyglade
