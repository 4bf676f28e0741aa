#include "dragonflyglade/decision/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dragonflyglade {
namespace {

// log2 of the fleet size up to which the suspicion timeout does not grow.
constexpr double kSmallFleetLog2 = 3;

// Number of other members from which the large fleet's period applies.
constexpr std::size_t kLargeFleet = 16;
// How often an update is sent that does not affect where callers are sent.
constexpr int kMaxRoutineSends = 3;

bool IsNewer(const MemberStatus& a, const MemberStatus& b) {
  return std::tie(a.incarnation, a.sequence, a.state) >
         std::tie(b.incarnation, b.sequence, b.state);
}

}  // namespace

Membership::Membership(MemberStatus self, MembershipOptions options,
                       Clock clock, std::uint64_t seed)
    : options(options), clock(clock), self(std::move(self)), random(seed) {}

void Membership::ApplyInstanceList(const InstanceList& list) {
  absl::MutexLock lock(&this->mutex);
  if (list.version < this->list.version) return;
  this->list = list;
  for (const ListedInstance& listed : list.instances) {
    if (listed.info.name == this->self.info.name) continue;
    const auto found = this->members.find(listed.info.name);
    if (found == this->members.end()) {
      // No heartbeat came from it yet. Every incarnation that a heartbeat
      // carries is newer than 0.
      MemberStatus status;
      status.info = listed.info;
      status.leaving = listed.leaving;
      this->members.emplace(listed.info.name,
                            Member{status, this->clock.Now()});
    } else if (listed.leaving) {
      found->second.status.leaving = true;
    }
  }
}

std::optional<MemberStatus> Membership::NextToProbe() {
  absl::MutexLock lock(&this->mutex);
  // A shuffled round probes every member once before any of them again, which
  // bounds the time until a failure is detected.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!this->round.empty()) {
      const std::string name = std::move(this->round.back());
      this->round.pop_back();
      const auto found = this->members.find(name);
      if (found == this->members.end()) continue;
      const MemberStatus& status = found->second.status;
      // Dead members are still probed while the list names them: if one was
      // declared dead by mistake, its response makes it alive again.
      if (status.state != MemberState::kDead || this->IsListed(name)) {
        return status;
      }
    }
    for (const auto& [name, member] : this->members) {
      this->round.push_back(name);
    }
    std::shuffle(this->round.begin(), this->round.end(), this->random);
  }
  return std::nullopt;
}

std::vector<MemberStatus> Membership::SampleAlive(std::size_t count,
                                                  std::string_view except) {
  absl::MutexLock lock(&this->mutex);
  std::vector<MemberStatus> live;
  for (const auto& [name, member] : this->members) {
    if (name == except) continue;
    if (member.status.state == MemberState::kAlive) {
      live.push_back(member.status);
    }
  }
  std::shuffle(live.begin(), live.end(), this->random);
  if (live.size() > count) live.resize(count);
  return live;
}

// Failure: a starting fleet has hundreds of updates to send. If the update that
// an instance is dead waits behind them, callers are sent to that instance
// meanwhile. So urgent updates are sent first, then those that were sent least
// often: new updates overtake those that most instances have already.
std::vector<MemberStatus> Membership::UpdatesFor(std::string_view to) {
  absl::MutexLock lock(&this->mutex);
  const std::size_t count =
      std::min(this->options.updates_per_message, this->queue.size());
  std::partial_sort(this->queue.begin(),
                    this->queue.begin() + static_cast<std::ptrdiff_t>(count),
                    this->queue.end(),
                    [](const QueuedUpdate& a, const QueuedUpdate& b) {
                      return std::make_pair(!a.urgent, a.times_sent) <
                             std::make_pair(!b.urgent, b.times_sent);
                    });
  std::vector<MemberStatus> updates;
  for (std::size_t i = 0; i < count; ++i) {
    QueuedUpdate& next = this->queue[i];
    ++next.times_sent;
    const auto found = this->members.find(next.name);
    if (found != this->members.end()) {
      updates.push_back(found->second.status);
    }
  }
  const double fleet = static_cast<double>(this->members.size() + 1);
  const int max_urgent_sends =
      this->options.spread_factor *
      static_cast<int>(std::ceil(std::log2(fleet + 1)));
  this->queue.erase(
      std::remove_if(this->queue.begin(), this->queue.end(),
                     [max_urgent_sends](const QueuedUpdate& sent) {
                       const int limit =
                           sent.urgent ? max_urgent_sends : kMaxRoutineSends;
                       return sent.times_sent >= limit;
                     }),
      this->queue.end());
  // A recipient that is suspect or dead learns of it and can refute.
  const auto recipient = this->members.find(to);
  if (recipient != this->members.end() &&
      recipient->second.status.state != MemberState::kAlive) {
    updates.push_back(recipient->second.status);
  }
  return updates;
}

void Membership::Receive(const MemberStatus& sender,
                         absl::Span<const MemberStatus> updates) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->members.find(sender.info.name);
  const bool was_current = found != this->members.end() &&
                           std::tie(found->second.status.incarnation,
                                    found->second.status.sequence) ==
                               std::tie(sender.incarnation, sender.sequence);
  if (!this->Apply(sender) && was_current) {
    // Its own heartbeat proves that it is alive, whatever was suspected, and
    // brings its current load.
    Member& member = found->second;
    member.status.load_permille = sender.load_permille;
    if (member.status.state != MemberState::kAlive) {
      this->SetState(member, MemberState::kAlive);
    }
  }
  for (const MemberStatus& update : updates) this->Apply(update);
}

bool Membership::Apply(const MemberStatus& status) {
  if (status.info.name.empty()) return false;
  if (status.info.name == this->self.info.name) {
    this->Refute(status);
    return false;
  }
  const auto found = this->members.find(status.info.name);
  if (found == this->members.end()) {
    if (status.state == MemberState::kDead) return false;
    this->members.emplace(status.info.name, Member{status, this->clock.Now()});
    this->Queue(status);
    return true;
  }
  Member& member = found->second;
  if (!IsNewer(status, member.status)) return false;
  if (status.state != member.status.state) {
    member.state_since = this->clock.Now();
  }
  member.status = status;
  this->Queue(status);
  return true;
}

// Failure: a few lost datagrams make others suspect a healthy instance, and
// callers are sent elsewhere. Only the instance itself increases its sequence,
// so an update with a higher sequence proves that it is alive and overrules
// every suspicion.
void Membership::Refute(const MemberStatus& status) {
  if (status.incarnation > this->self.incarnation) return;
  if (status.state == MemberState::kAlive) return;
  // An instance that knew this one only from the list suspects incarnation 0.
  // Increasing the sequence for that too makes the update that this instance is
  // alive an urgent one.
  const bool is_of_this_process = status.incarnation == this->self.incarnation;
  const std::int64_t refuted = is_of_this_process ? status.sequence : 0;
  this->self.sequence = std::max(this->self.sequence, refuted + 1);
}

void Membership::ReportProbeFailure(std::string_view name) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->members.find(name);
  if (found == this->members.end()) return;
  if (found->second.status.state != MemberState::kAlive) return;
  this->SetState(found->second, MemberState::kSuspect);
}

// Heartbeats also carry the balances of token buckets. A small fleet can afford
// frequent heartbeats, which keep the balances current; a large one has to
// limit the bytes sent.
absl::Duration Membership::Period() const {
  absl::MutexLock lock(&this->mutex);
  if (this->members.size() < kLargeFleet) return this->options.period;
  return std::max(this->options.period, this->options.large_fleet_period);
}

void Membership::Tick() {
  absl::MutexLock lock(&this->mutex);
  const Instant now = this->clock.Now();
  const absl::Duration suspicion = this->SuspicionTimeout();
  for (auto it = this->members.begin(); it != this->members.end();) {
    Member& member = it->second;
    const absl::Duration time_in_state = now - member.state_since;
    if (member.status.state == MemberState::kSuspect &&
        time_in_state >= suspicion) {
      this->SetState(member, MemberState::kDead);
    }
    const bool forgotten = member.status.state == MemberState::kDead &&
                           time_in_state >= this->options.forget_after &&
                           !this->IsListed(it->first);
    it = forgotten ? this->members.erase(it) : std::next(it);
  }
}

// Failure: in a large fleet the suspicion timeout passes while the refutation
// is still on its way, and hundreds of instances declare a healthy one dead at
// once. So the timeout grows with the time that an update takes to spread.
absl::Duration Membership::SuspicionTimeout() const {
  const double fleet_log2 =
      std::ceil(std::log2(static_cast<double>(this->members.size() + 2)));
  return this->options.suspicion * std::max(1.0, fleet_log2 / kSmallFleetLog2);
}

void Membership::Leave() {
  absl::MutexLock lock(&this->mutex);
  if (this->self.leaving) return;
  this->self.leaving = true;
  ++this->self.sequence;
}

void Membership::SetPorts(int peer_port, int caller_port) {
  absl::MutexLock lock(&this->mutex);
  this->self.info.peer_port = peer_port;
  this->self.info.caller_port = caller_port;
}

void Membership::SetLoad(int load_permille) {
  absl::MutexLock lock(&this->mutex);
  this->self.load_permille = load_permille;
}

MemberStatus Membership::Self() const {
  absl::MutexLock lock(&this->mutex);
  return this->self;
}

std::vector<MemberStatus> Membership::All() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<MemberStatus> all = {this->self};
  for (const auto& [name, member] : this->members) {
    all.push_back(member.status);
  }
  return all;
}

std::vector<std::string> Membership::ActiveNames() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<std::string> names;
  if (!this->self.leaving) names.push_back(this->self.info.name);
  for (const auto& [name, member] : this->members) {
    const MemberStatus& status = member.status;
    if (status.state == MemberState::kDead || status.leaving) continue;
    if (status.incarnation == 0 && !this->IsListed(name)) continue;
    names.push_back(name);
  }
  return names;
}

std::optional<MemberStatus> Membership::Find(std::string_view name) const {
  absl::MutexLock lock(&this->mutex);
  if (name == this->self.info.name) return this->self;
  const auto found = this->members.find(name);
  if (found == this->members.end()) return std::nullopt;
  return found->second.status;
}

InstanceList Membership::List() const {
  absl::MutexLock lock(&this->mutex);
  return this->list;
}

std::pair<int, int> Membership::CountListedAndAlive() const {
  absl::MutexLock lock(&this->mutex);
  int listed = 0;
  int alive = 0;
  for (const ListedInstance& entry : this->list.instances) {
    if (entry.info.name == this->self.info.name || entry.leaving) continue;
    const auto found = this->members.find(entry.info.name);
    const bool known = found != this->members.end();
    if (known && found->second.status.leaving) continue;
    ++listed;
    if (known && found->second.status.incarnation != 0 &&
        found->second.status.state == MemberState::kAlive) {
      ++alive;
    }
  }
  return {listed, alive};
}

void Membership::Queue(const MemberStatus& status) {
  QueuedUpdate entry;
  entry.name = status.info.name;
  entry.urgent = status.state != MemberState::kAlive || status.leaving ||
                 status.sequence > 0;
  for (QueuedUpdate& queued : this->queue) {
    if (queued.name != entry.name) continue;
    queued = std::move(entry);
    return;
  }
  this->queue.push_back(std::move(entry));
}

void Membership::SetState(Member& member, MemberState state) {
  member.status.state = state;
  member.state_since = this->clock.Now();
  this->Queue(member.status);
}

bool Membership::IsListed(std::string_view name) const {
  return std::any_of(this->list.instances.begin(), this->list.instances.end(),
                     [name](const ListedInstance& listed) {
                       return listed.info.name == name;
                     });
}

}  // namespace dragonflyglade
