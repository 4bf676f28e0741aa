#include "dragonflyglade/decision/target_book.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

bool IsResident(const LoadReport& report, const TargetNeed& need) {
  const auto has = [&report](const std::string& name) {
    return name.empty() || report.resident.count(name) > 0;
  };
  return has(need.model) && has(need.adapter);
}

}  // namespace

TargetBook::TargetBook(TargetOptions options, Clock clock, std::uint64_t seed)
    : options(options), clock(clock) {
  for (Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    shard.random.seed(seed++);
  }
}

TargetBook::Shard& TargetBook::ShardOf(std::string_view pool) {
  return this->shards[StableHash(pool) % kShards];
}

TargetBook::Target* TargetBook::Find(Shard& shard, std::string_view pool,
                                     std::string_view target) {
  const auto targets = shard.pools.find(pool);
  if (targets == shard.pools.end()) return nullptr;
  const auto found = targets->second.find(target);
  return found == targets->second.end() ? nullptr : &found->second;
}

void TargetBook::TakeList(std::int64_t version,
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

void TargetBook::TakeReport(std::string_view pool, std::string_view target,
                            LoadReport report) {
  Shard& shard = this->ShardOf(pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, pool, target);
  if (found == nullptr) return;
  // A restarted target has lost its prompt cache.
  if (found->report.boot_id != report.boot_id) found->prefixes.clear();
  found->report_at = this->clock.Now() - report.lag;
  found->report = std::move(report);
}

// A mark keeps the age of its first sighting wherever it is passed on, so
// marks die out instead of circling among the instances for good.
void TargetBook::MarkLeaving(std::string_view target, absl::Duration age) {
  const Instant now = this->clock.Now();
  if (age >= this->options.leaving_memory) return;
  absl::MutexLock lock(&this->marks_mutex);
  const auto [found, added] =
      this->marks.emplace(std::string(target), now - age);
  const bool expired = now - found->second >= this->options.leaving_memory;
  if (!added && expired) found->second = now - age;
}

std::map<std::string, absl::Duration> TargetBook::LeavingMarks() const {
  absl::MutexLock lock(&this->marks_mutex);
  std::map<std::string, absl::Duration> ages;
  const Instant now = this->clock.Now();
  for (const auto& [target, since] : this->marks) {
    if (now - since < this->options.leaving_memory) {
      ages[target] = now - since;
    }
  }
  return ages;
}

bool TargetBook::IsMarkedLeaving(std::string_view target) const {
  absl::MutexLock lock(&this->marks_mutex);
  const auto found = this->marks.find(target);
  return found != this->marks.end() &&
         this->clock.Now() - found->second < this->options.leaving_memory;
}

bool TargetBook::IsEjected(const Target& target, Instant now) const {
  return now < target.ejected_until;
}

// Failure: a target that comes back gets the whole backlog at once and falls
// over again. Its budget grows from one request to the full one over the
// return time, so a target that is still ill takes few requests with it.
int TargetBook::Budget(const Target& target, Instant now) const {
  const absl::Duration back = now - target.ejected_until;
  if (back >= this->options.slow_return) return this->options.max_in_flight;
  const double part = absl::FDivDuration(back, this->options.slow_return);
  const double grown = part * this->options.max_in_flight;
  return std::max(1, static_cast<int>(std::floor(grown)));
}

// The expected wait in tokens. The report counts everybody's work but is old;
// the own outstanding tokens are exact but miss the other instances. The
// report fades with its age, and never counts for less than the own tokens.
double TargetBook::Cost(const Target& target, const TargetNeed& need,
                        Instant now) const {
  const absl::Duration age = now - target.report_at;
  const double trust =
      age == absl::InfiniteDuration()
          ? 0.0
          : std::exp(-std::max(0.0, absl::ToDoubleSeconds(age)) / 2.0);
  double cost =
      std::max(target.outstanding, trust * target.report.queued_tokens) +
      0.1 * target.outstanding;
  if (target.listed.zone != need.zone) {
    cost += this->options.zone_penalty_tokens;
  }
  if (need.prefix != 0 && target.prefixes.count(need.prefix) > 0) {
    cost -= this->options.prefix_bonus_tokens;
  }
  return cost;
}

std::variant<TargetPlace, NoPlace> TargetBook::Take(const TargetNeed& need) {
  Shard& shard = this->ShardOf(need.pool);
  absl::MutexLock lock(&shard.mutex);
  const auto targets = shard.pools.find(need.pool);
  if (targets == shard.pools.end() || targets->second.empty()) {
    return NoPlace::kUnknownPool;
  }
  const Instant now = this->clock.Now();
  bool resident = false;
  bool busy = false;
  Target* best = nullptr;
  double best_cost = 0;
  for (auto& [name, target] : targets->second) {
    if (!IsResident(target.report, need)) continue;
    resident = true;
    if (target.listed.leaving || this->IsMarkedLeaving(name)) continue;
    if (this->IsEjected(target, now) || need.avoid.count(name) > 0) continue;
    if (target.in_flight >= this->Budget(target, now)) {
      busy = true;
      continue;
    }
    // Equal costs are broken at random, so that several instances which see
    // the same figures do not all choose the same target.
    const double jitter = absl::Uniform(shard.random, 0.0, 1.0);
    const double cost = this->Cost(target, need, now) + jitter;
    if (best != nullptr && cost >= best_cost) continue;
    best = &target;
    best_cost = cost;
  }
  if (best == nullptr) {
    if (busy) return NoPlace::kBusy;
    return resident ? NoPlace::kUnreachable : NoPlace::kNotResident;
  }
  ++best->in_flight;
  best->outstanding += need.tokens;
  return TargetPlace{best->listed.name, need.pool, best->listed.address,
                     best->listed.port, need.tokens};
}

void TargetBook::Finish(const TargetPlace& place, PlaceOutcome outcome) {
  Shard& shard = this->ShardOf(place.pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, place.pool, place.target);
  if (found == nullptr) return;
  Target& target = *found;
  target.in_flight = std::max(0, target.in_flight - 1);
  target.outstanding = std::max(0.0, target.outstanding - place.tokens);
  if (outcome == PlaceOutcome::kGood) {
    target.failures = 0;
    const Instant now = this->clock.Now();
    if (now - target.ejected_until >= this->options.slow_return) {
      target.ejections = 0;
    }
  }
  if (outcome != PlaceOutcome::kTargetFault) return;
  if (++target.failures < this->options.failures_to_eject) return;
  const absl::Duration wait = std::min(
      this->options.longest_ejection,
      this->options.ejection * std::pow(2.0, std::min(target.ejections, 10)));
  target.ejected_until = this->clock.Now() + wait;
  target.failures = 0;
  ++target.ejections;
}

void TargetBook::NotePrefix(std::string_view pool, std::string_view target,
                            std::uint64_t prefix) {
  if (prefix == 0) return;
  Shard& shard = this->ShardOf(pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, pool, target);
  if (found == nullptr) return;
  std::set<std::uint64_t>& prefixes = found->prefixes;
  if (prefixes.size() >= kMaxPrefixes) prefixes.erase(prefixes.begin());
  prefixes.insert(prefix);
}

void TargetBook::DropPrefix(std::string_view pool, std::string_view target,
                            std::uint64_t prefix) {
  Shard& shard = this->ShardOf(pool);
  absl::MutexLock lock(&shard.mutex);
  Target* found = Find(shard, pool, target);
  if (found != nullptr) found->prefixes.erase(prefix);
}

std::vector<TargetStatus> TargetBook::Status() const {
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
        status.resident = target.report.resident;
        all.push_back(std::move(status));
      }
    }
  }
  return all;
}

}  // namespace dragonflyglade
