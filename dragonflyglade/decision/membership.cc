#include "dragonflyglade/decision/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dragonflyglade {
namespace {

// A fleet of eight has doubled this often.
constexpr double kSmallDoublings = 3;

constexpr std::size_t kLargeFleet = 16;
// How often a statement that changes nothing for callers is passed on.
constexpr int kCalmSends = 3;

bool IsNewer(const MemberStatus& a, const MemberStatus& b) {
  return std::tie(a.incarnation, a.sequence, a.state) >
         std::tie(b.incarnation, b.sequence, b.state);
}

}  // namespace

Membership::Membership(MemberStatus self, MembershipOptions options,
                       Clock clock, std::uint64_t seed)
    : options(options), clock(clock), self(std::move(self)), random(seed) {}

void Membership::TakeList(const InstanceList& list) {
  absl::MutexLock lock(&this->mutex);
  if (list.version < this->list.version) return;
  this->list = list;
  for (const ListedInstance& listed : list.instances) {
    if (listed.info.name == this->self.info.name) continue;
    const auto found = this->members.find(listed.info.name);
    if (found == this->members.end()) {
      // Nothing was heard of it yet: incarnation 0 yields to any heartbeat.
      MemberStatus statement;
      statement.info = listed.info;
      statement.leaving = listed.leaving;
      this->members.emplace(listed.info.name,
                            Member{statement, this->clock.Now()});
    } else if (listed.leaving) {
      found->second.statement.leaving = true;
    }
  }
}

std::optional<MemberStatus> Membership::NextToProbe() {
  absl::MutexLock lock(&this->mutex);
  // A shuffled round visits everybody before anybody twice, which bounds the
  // time until a failure is noticed.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!this->round.empty()) {
      const std::string name = std::move(this->round.back());
      this->round.pop_back();
      const auto found = this->members.find(name);
      if (found == this->members.end()) continue;
      const MemberStatus& statement = found->second.statement;
      // The dead are still asked while the list names them: a false death
      // ends when they answer.
      if (statement.state != MemberState::kDead || this->IsListed(name)) {
        return statement;
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
    if (member.statement.state == MemberState::kAlive) {
      live.push_back(member.statement);
    }
  }
  std::shuffle(live.begin(), live.end(), this->random);
  if (live.size() > count) live.resize(count);
  return live;
}

// Failure: a fleet that starts has hundreds of statements to pass on; news of
// a death waits behind them, and meanwhile callers are sent to the dead. What
// was sent least often goes first, so news overtakes what is nearly known.
std::vector<MemberStatus> Membership::Updates(std::string_view to) {
  absl::MutexLock lock(&this->mutex);
  const std::size_t count =
      std::min(this->options.updates_per_message, this->pending.size());
  std::partial_sort(this->pending.begin(),
                    this->pending.begin() + static_cast<std::ptrdiff_t>(count),
                    this->pending.end(),
                    [](const Pending& a, const Pending& b) {
                      return std::make_pair(!a.urgent, a.times_sent) <
                             std::make_pair(!b.urgent, b.times_sent);
                    });
  std::vector<MemberStatus> updates;
  for (std::size_t i = 0; i < count; ++i) {
    Pending& next = this->pending[i];
    ++next.times_sent;
    const auto found = this->members.find(next.name);
    if (found != this->members.end()) {
      updates.push_back(found->second.statement);
    }
  }
  const double fleet = static_cast<double>(this->members.size() + 1);
  const int most = this->options.spread_factor *
                   static_cast<int>(std::ceil(std::log2(fleet + 1)));
  this->pending.erase(std::remove_if(this->pending.begin(), this->pending.end(),
                                     [most](const Pending& sent) {
                                       const int limit =
                                           sent.urgent ? most : kCalmSends;
                                       return sent.times_sent >= limit;
                                     }),
                      this->pending.end());
  // Whoever is judged suspect or dead is told so, and can refute.
  const auto receiver = this->members.find(to);
  if (receiver != this->members.end() &&
      receiver->second.statement.state != MemberState::kAlive) {
    updates.push_back(receiver->second.statement);
  }
  return updates;
}

void Membership::Receive(const MemberStatus& sender,
                         absl::Span<const MemberStatus> updates) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->members.find(sender.info.name);
  const bool was_current = found != this->members.end() &&
                           std::tie(found->second.statement.incarnation,
                                    found->second.statement.sequence) ==
                               std::tie(sender.incarnation, sender.sequence);
  if (!this->TakeStatement(sender) && was_current) {
    // Heard directly: it lives, whatever was suspected, and its load is new.
    Member& member = found->second;
    member.statement.load_permille = sender.load_permille;
    if (member.statement.state != MemberState::kAlive) {
      this->Judge(member, MemberState::kAlive);
    }
  }
  for (const MemberStatus& update : updates) this->TakeStatement(update);
}

bool Membership::TakeStatement(const MemberStatus& statement) {
  if (statement.info.name.empty()) return false;
  if (statement.info.name == this->self.info.name) {
    this->Refute(statement);
    return false;
  }
  const auto found = this->members.find(statement.info.name);
  if (found == this->members.end()) {
    if (statement.state == MemberState::kDead) return false;
    this->members.emplace(statement.info.name,
                          Member{statement, this->clock.Now()});
    this->Queue(statement);
    return true;
  }
  Member& member = found->second;
  if (!IsNewer(statement, member.statement)) return false;
  if (statement.state != member.statement.state) {
    member.since = this->clock.Now();
  }
  member.statement = statement;
  this->Queue(statement);
  return true;
}

// Failure: a few lost datagrams make others suspect a healthy instance, and
// callers are steered away from it. A statement with a higher sequence can
// only come from the instance itself, so it overrules every suspicion.
void Membership::Refute(const MemberStatus& statement) {
  if (statement.incarnation > this->self.incarnation) return;
  if (statement.state == MemberState::kAlive) return;
  // Whoever knew this instance only from the list suspects incarnation 0; a
  // raised sequence makes the news that it lives travel as a refutation.
  const bool is_of_this_process =
      statement.incarnation == this->self.incarnation;
  const std::int64_t refuted = is_of_this_process ? statement.sequence : 0;
  this->self.sequence = std::max(this->self.sequence, refuted + 1);
}

void Membership::ReportProbeFailure(std::string_view name) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->members.find(name);
  if (found == this->members.end()) return;
  if (found->second.statement.state != MemberState::kAlive) return;
  this->Judge(found->second, MemberState::kSuspect);
}

// In a small fleet each member is heard often, and the balances of its buckets
// stay current; in a large one the bytes count.
absl::Duration Membership::Period() const {
  absl::MutexLock lock(&this->mutex);
  if (this->members.size() < kLargeFleet) return this->options.period;
  return std::max(this->options.period, this->options.large_fleet_period);
}

void Membership::Tick() {
  absl::MutexLock lock(&this->mutex);
  const Instant now = this->clock.Now();
  const absl::Duration suspicion = this->Suspicion();
  for (auto it = this->members.begin(); it != this->members.end();) {
    Member& member = it->second;
    const absl::Duration lasted = now - member.since;
    if (member.statement.state == MemberState::kSuspect &&
        lasted >= suspicion) {
      this->Judge(member, MemberState::kDead);
    }
    const bool forgotten = member.statement.state == MemberState::kDead &&
                           lasted >= this->options.forget_after &&
                           !this->IsListed(it->first);
    it = forgotten ? this->members.erase(it) : std::next(it);
  }
}

// Failure: in a large fleet a suspect's refutation is still on its way when
// the suspicion runs out, and a healthy instance is taken for dead by hundreds
// of others at once.
absl::Duration Membership::Suspicion() const {
  const double doublings =
      std::ceil(std::log2(static_cast<double>(this->members.size() + 2)));
  return this->options.suspicion * std::max(1.0, doublings / kSmallDoublings);
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
    all.push_back(member.statement);
  }
  return all;
}

std::vector<std::string> Membership::Active() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<std::string> names;
  if (!this->self.leaving) names.push_back(this->self.info.name);
  for (const auto& [name, member] : this->members) {
    const MemberStatus& statement = member.statement;
    if (statement.state == MemberState::kDead || statement.leaving) continue;
    if (statement.incarnation == 0 && !this->IsListed(name)) continue;
    names.push_back(name);
  }
  return names;
}

std::optional<MemberStatus> Membership::Find(std::string_view name) const {
  absl::MutexLock lock(&this->mutex);
  if (name == this->self.info.name) return this->self;
  const auto found = this->members.find(name);
  if (found == this->members.end()) return std::nullopt;
  return found->second.statement;
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
    if (known && found->second.statement.leaving) continue;
    ++listed;
    if (known && found->second.statement.incarnation != 0 &&
        found->second.statement.state == MemberState::kAlive) {
      ++alive;
    }
  }
  return {listed, alive};
}

void Membership::Queue(const MemberStatus& statement) {
  Pending entry;
  entry.name = statement.info.name;
  entry.urgent = statement.state != MemberState::kAlive || statement.leaving ||
                 statement.sequence > 0;
  for (Pending& waiting : this->pending) {
    if (waiting.name != entry.name) continue;
    waiting = std::move(entry);
    return;
  }
  this->pending.push_back(std::move(entry));
}

void Membership::Judge(Member& member, MemberState state) {
  member.statement.state = state;
  member.since = this->clock.Now();
  this->Queue(member.statement);
}

bool Membership::IsListed(std::string_view name) const {
  return std::any_of(this->list.instances.begin(), this->list.instances.end(),
                     [name](const ListedInstance& listed) {
                       return listed.info.name == name;
                     });
}

}  // namespace dragonflyglade
