#include "dragonflyglade/decision/target_registry.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// Time after which a report counts for a third.
constexpr absl::Duration kReportTrust = absl::Milliseconds(500);
constexpr double kUnknownSlots = 16;
// What a full batch, and one request that waits, add to a request's cost.
constexpr double kBatchWeight = 0.5;
constexpr double kWaitWeight = 2;
// Reports overlap: what was taken after one is not in the next yet.
constexpr double kSparePart = 0.5;

bool IsResident(const LoadReport& report, const TargetRequirements& need) {
  const auto has = [&report](const std::string& name) {
    return name.empty() || report.resident.count(name) > 0;
  };
  return has(need.model) && has(need.adapter);
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

void TargetRegistry::TakeList(std::int64_t version,
                              const std::vector<ListedTarget>& list) {
  absl::MutexLock list_lock(&this->list_mutex);
  if (version < this->list_version) return;
  this->list_version = version;
  std::set<std::string, std::less<>> named;
  for (const ListedTarget& listed : list) {
    named.insert(listed.name);
    Shard& shard = this->ShardOf(listed.pool);
    absl::MutexLock lock(&shard.mutex);
    shard.pools[listed.pool][listed.name].listed = listed;
  }
  for (Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (auto& [pool, targets] : shard.pools) {
      for (auto it = targets.begin(); it != targets.end();) {
        const bool gone =
            named.count(it->first) == 0 && it->second.in_flight == 0;
        if (gone) {
          it = targets.erase(it);
          continue;
        }
        if (named.count(it->first) == 0) it->second.listed.leaving = true;
        ++it;
      }
    }
  }
}

void TargetRegistry::TakeReport(std::string_view pool, std::string_view target,
                                LoadReport report) {
  Shard& shard = this->ShardOf(pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, pool, target);
  if (found == nullptr) return;
  // A restarted target has lost its prompt cache.
  if (found->report.boot_id != report.boot_id) found->prefixes.clear();
  found->report_at = this->clock.Now() - report.lag;
  found->in_flight_at_report = found->in_flight;
  const double spare = kSparePart * std::max(0, report.slots - report.running) /
                       static_cast<double>(this->sharers);
  // The fraction is drawn, so that all instances together take what is free.
  found->spare =
      static_cast<int>(spare + absl::Uniform(shard.random, 0.0, 1.0));
  found->report = std::move(report);
}

// A mark keeps the age of its first sighting wherever it is passed on, so
// marks die out instead of circling among the instances for good.
void TargetRegistry::MarkLeaving(std::string_view target, absl::Duration age) {
  const Instant now = this->clock.Now();
  if (age >= this->options.leaving_mark_ttl) return;
  absl::MutexLock lock(&this->marks_mutex);
  const auto [found, added] =
      this->marks.emplace(std::string(target), now - age);
  const bool expired = now - found->second >= this->options.leaving_mark_ttl;
  if (!added && expired) found->second = now - age;
}

std::map<std::string, absl::Duration> TargetRegistry::LeavingTargets() const {
  absl::MutexLock lock(&this->marks_mutex);
  std::map<std::string, absl::Duration> ages;
  const Instant now = this->clock.Now();
  for (const auto& [target, since] : this->marks) {
    if (now - since < this->options.leaving_mark_ttl) {
      ages[target] = now - since;
    }
  }
  return ages;
}

bool TargetRegistry::IsMarkedLeaving(std::string_view target) const {
  absl::MutexLock lock(&this->marks_mutex);
  const auto found = this->marks.find(target);
  return found != this->marks.end() &&
         this->clock.Now() - found->second < this->options.leaving_mark_ttl;
}

bool TargetRegistry::IsEjected(const Target& target, Instant now) const {
  return now < target.ejected_until;
}

// Failure: a target that comes back gets the whole backlog at once and falls
// over again. Its budget grows from one request to the full one over the
// return time, so a target that is still ill takes few requests with it.
int TargetRegistry::Budget(const Target& target, Instant now) const {
  const absl::Duration back = now - target.ejected_until;
  if (back >= this->options.recovery_ramp) return this->options.max_in_flight;
  const double part = absl::FDivDuration(back, this->options.recovery_ramp);
  const double grown = part * this->options.max_in_flight;
  return std::max(1, static_cast<int>(std::floor(grown)));
}

void TargetRegistry::SetInstanceCount(int instances) {
  this->sharers = std::max(1, instances);
}

// Failure: every instance sends a target as many requests as it may, they
// wait at the engine in the order of arrival, and one workspace's flood delays
// all others although each instance's own queue is fair. So the backlog is
// kept here: each instance may use its equal part of a target's slots, and of
// the slots that a report shows to be free its equal part again.
bool TargetRegistry::HasRoom(const Target& target, Instant now) const {
  if (target.in_flight >= this->Budget(target, now)) return false;
  if (target.report.slots <= 0) return true;
  const int part = std::max(1, target.report.slots / this->sharers);
  if (target.in_flight < part) return true;
  return target.in_flight < target.in_flight_at_report + target.spare;
}

// How many requests the target has from all instances. The report knows of
// everybody's but is old; the own requests are known exactly, and others have
// about as many each. The report fades with its age.
double TargetRegistry::Occupancy(const Target& target, Instant now) const {
  const double blind = static_cast<double>(target.in_flight) * this->sharers;
  const absl::Duration age = now - target.report_at;
  if (age == absl::InfiniteDuration()) return blind;
  const double trust =
      std::exp(-std::max(0.0, absl::FDivDuration(age, kReportTrust)));
  const double reported =
      target.report.running + target.in_flight - target.in_flight_at_report;
  return trust * std::max(0.0, reported) + (1 - trust) * blind;
}

// A hint only: cache events come late and with gaps, and what was seen a while
// ago is forgotten by a busy engine.
bool TargetRegistry::LikelyCached(const Target& target, std::uint64_t prefix,
                                  Instant now) const {
  if (prefix == 0) return false;
  const auto seen = target.prefixes.find(prefix);
  return seen != target.prefixes.end() &&
         now - seen->second < this->options.prefix_hint_ttl;
}

// The expected wait in tokens. Requests in the batch hardly delay a new one;
// those beyond the slots do.
double TargetRegistry::Cost(const Target& target,
                            const TargetRequirements& need, Instant now) const {
  const double occupancy = this->Occupancy(target, now);
  const double slots =
      target.report.slots > 0 ? target.report.slots : kUnknownSlots;
  double cost = kBatchWeight * need.tokens * occupancy / slots;
  cost += kWaitWeight * need.tokens * std::max(0.0, occupancy + 1 - slots);
  if (target.listed.zone != need.zone) {
    cost += this->options.zone_penalty_tokens;
  }
  if (this->LikelyCached(target, need.prefix, now)) {
    cost -= this->options.prefix_bonus_tokens;
  }
  return cost;
}

// Requests with the same beginning have one target that all instances prefer
// for them without telling each other, so its cache is worth having.
std::string TargetRegistry::PrefixHome(
    const std::map<std::string, Target, std::less<>>& targets,
    const TargetRequirements& need) {
  if (need.prefix == 0) return {};
  std::string home;
  std::uint64_t heaviest = 0;
  for (const auto& [name, target] : targets) {
    if (!IsResident(target.report, need) || target.listed.leaving) continue;
    const std::uint64_t weight = StableHash(name, need.prefix);
    if (!home.empty() && weight <= heaviest) continue;
    home = name;
    heaviest = weight;
  }
  return home;
}

std::variant<TargetReservation, ReservationError> TargetRegistry::Take(
    const TargetRequirements& need) {
  Shard& shard = this->ShardOf(need.pool);
  absl::MutexLock lock(&shard.mutex);
  const auto targets = shard.pools.find(need.pool);
  if (targets == shard.pools.end() || targets->second.empty()) {
    return ReservationError::kUnknownPool;
  }
  const Instant now = this->clock.Now();
  const std::string home = this->PrefixHome(targets->second, need);
  bool resident = false;
  bool busy = false;
  Target* best = nullptr;
  double best_cost = 0;
  for (auto& [name, target] : targets->second) {
    if (!IsResident(target.report, need)) continue;
    resident = true;
    if (target.listed.leaving || this->IsMarkedLeaving(name)) continue;
    if (this->IsEjected(target, now) || need.avoid.count(name) > 0) continue;
    if (!this->HasRoom(target, now)) {
      busy = true;
      continue;
    }
    // Equal costs are broken at random, so that several instances which see
    // the same figures do not all choose the same target.
    const double jitter = absl::Uniform(shard.random, 0.0, 1.0);
    double cost = this->Cost(target, need, now) + jitter;
    if (name == home) cost -= this->options.prefix_bonus_tokens;
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
  best->outstanding += need.tokens;
  return TargetReservation{best->listed.name, need.pool, best->listed.address,
                           best->listed.port, need.tokens};
}

void TargetRegistry::Finish(const TargetReservation& place,
                            RequestOutcome outcome) {
  Shard& shard = this->ShardOf(place.pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, place.pool, place.target);
  if (found == nullptr) return;
  Target& target = *found;
  target.in_flight = std::max(0, target.in_flight - 1);
  target.outstanding = std::max(0.0, target.outstanding - place.tokens);
  if (outcome == RequestOutcome::kSucceeded) {
    target.failures = 0;
    const Instant now = this->clock.Now();
    if (now - target.ejected_until >= this->options.recovery_ramp) {
      target.ejections = 0;
    }
  }
  if (outcome != RequestOutcome::kTargetFault) return;
  // A target that came back a moment ago is set aside again by one failure:
  // otherwise each return costs as many requests as the first ejection did.
  const bool on_trial =
      this->clock.Now() - target.ejected_until < this->options.recovery_ramp;
  if (++target.failures < this->options.failures_to_eject && !on_trial) return;
  const absl::Duration wait = std::min(
      this->options.max_ejection,
      this->options.ejection * std::pow(2.0, std::min(target.ejections, 10)));
  target.ejected_until = this->clock.Now() + wait;
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
