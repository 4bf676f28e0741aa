#include "measure/model/membership_fleet.h"

#include <fmt/format.h>

#include <algorithm>

#include "absl/random/distributions.h"

namespace dragonflyglade {
namespace {

constexpr std::size_t kIndirectProbes = 2;
constexpr std::size_t kKilledInstance = 1;
constexpr std::size_t kUpdateFanout = 3;
constexpr absl::Duration kUpdateTime = absl::Seconds(30);

std::string NameOf(std::size_t instance) {
  return fmt::format("i{:03}", instance);
}

}  // namespace

MembershipFleet::MembershipFleet(const MembershipRun& run)
    : run(run), random(run.seed) {
  InstanceList list;
  list.version = 1;
  for (std::size_t i = 0; i < run.instances; ++i) {
    ListedInstance listed;
    listed.info.name = NameOf(i);
    listed.info.address = "10.0.0.1";
    listed.info.zone = "zone-a";
    list.instances.push_back(listed);
  }
  this->instances.resize(run.instances);
  for (std::size_t i = 0; i < run.instances; ++i) {
    MemberStatus self;
    self.info = list.instances[i].info;
    self.incarnation = 1;
    this->instances[i].membership = std::make_unique<Membership>(
        self, MembershipOptions{}, Clock(&this->manual), run.seed + i);
    this->instances[i].membership->ApplyInstanceList(list);
  }
}

bool MembershipFleet::IsDelivered() {
  return !absl::Bernoulli(this->random, this->run.message_loss);
}

// Sends a request and its response, each of which may be lost. Returns true if
// the sender received the response.
bool MembershipFleet::Exchange(std::size_t from, std::size_t to) {
  Instance& sender = this->instances[from];
  Instance& receiver = this->instances[to];
  const auto carry = [this](Instance& a, Instance& b, std::size_t b_index) {
    const std::vector<MemberStatus> updates =
        a.membership->UpdatesFor(NameOf(b_index));
    ++this->messages;
    this->updates += static_cast<std::int64_t>(updates.size());
    if (!b.alive || !this->IsDelivered()) return false;
    b.membership->Receive(a.membership->Self(), updates);
    b.has_update = b.has_update || a.has_update;
    return true;
  };
  return carry(sender, receiver, to) && carry(receiver, sender, from);
}

void MembershipFleet::ProbeRound(std::size_t instance) {
  Instance& own = this->instances[instance];
  own.membership->Tick();
  const auto next = own.membership->NextToProbe();
  if (!next.has_value()) return;
  const std::size_t target = std::stoul(next->info.name.substr(1));
  // The production code retries a failed exchange once on a new connection.
  if (this->Exchange(instance, target) || this->Exchange(instance, target))
    return;
  for (const MemberStatus& helper :
       own.membership->SampleAlive(kIndirectProbes, next->info.name)) {
    const std::size_t relay = std::stoul(helper.info.name.substr(1));
    if (this->Exchange(instance, relay) && this->Exchange(relay, target)) {
      return;
    }
  }
  own.membership->ReportProbeFailure(next->info.name);
}

void MembershipFleet::RecordVerdicts() {
  bool death_known = true;
  for (std::size_t a = 0; a < this->instances.size(); ++a) {
    if (!this->instances[a].alive) continue;
    for (std::size_t b = 0; b < this->instances.size(); ++b) {
      if (a == b) continue;
      const auto found = this->instances[a].membership->Find(NameOf(b));
      const bool dead = found.has_value() && found->state == MemberState::kDead;
      bool& before = this->considered_dead[{a, b}];
      if (dead && !before && this->instances[b].alive)
        ++this->result.false_deaths;
      before = dead;
      if (b == kKilledInstance && !dead) death_known = false;
    }
  }
  const bool killed = !this->instances[kKilledInstance].alive;
  if (killed && death_known) {
    this->result.death_known_after = std::min(
        this->result.death_known_after, this->manual.Now() - this->run.kill_at);
  }
  const bool update_everywhere =
      std::all_of(this->instances.begin(), this->instances.end(),
                  [](const Instance& n) { return !n.alive || n.has_update; });
  if (update_everywhere) {
    this->result.update_everywhere_after = std::min(
        this->result.update_everywhere_after, this->manual.Now() - kUpdateTime);
  }
}

// Instances run their probe rounds one after another, evenly spaced over the
// probe period.
MembershipResult MembershipFleet::Run() {
  const absl::Duration step = this->instances[0].membership->Period() /
                              static_cast<double>(this->instances.size());
  bool update_given = false;
  for (std::size_t i = 0; this->manual.Now() < this->run.length; ++i) {
    this->manual.Advance(step);
    const std::size_t instance = i % this->instances.size();
    if (this->manual.Now() >= this->run.kill_at) {
      this->instances[kKilledInstance].alive = false;
    }
    if (!update_given && this->manual.Now() >= kUpdateTime) {
      update_given = true;
      this->instances[0].has_update = true;
    }
    const bool had_update = this->instances[instance].has_update;
    if (this->instances[instance].alive) this->ProbeRound(instance);
    // An instance that learns of an update forwards it immediately.
    if (!had_update && this->instances[instance].has_update) {
      for (const MemberStatus& other :
           this->instances[instance].membership->SampleAlive(kUpdateFanout,
                                                             "")) {
        this->Exchange(instance, std::stoul(other.info.name.substr(1)));
      }
    }
    if (instance == 0) this->RecordVerdicts();
  }
  const double seconds = absl::ToDoubleSeconds(this->run.length);
  this->result.messages_per_second =
      static_cast<double>(this->messages) / seconds /
      static_cast<double>(this->instances.size());
  this->result.updates_per_message =
      static_cast<double>(this->updates) /
      static_cast<double>(std::max<std::int64_t>(1, this->messages));
  return this->result;
}

}  // namespace dragonflyglade
