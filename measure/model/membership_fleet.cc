#include "measure/model/membership_fleet.h"

#include <fmt/format.h>

#include <algorithm>

#include "absl/random/distributions.h"

namespace dragonflyglade {
namespace {

constexpr std::size_t kHelpers = 2;
constexpr std::size_t kVictim = 1;
constexpr std::size_t kNewsFanout = 3;
constexpr absl::Duration kNewsAt = absl::Seconds(30);

std::string NameOf(std::size_t node) { return fmt::format("i{:03}", node); }

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
  this->nodes.resize(run.instances);
  for (std::size_t i = 0; i < run.instances; ++i) {
    MemberStatus self;
    self.info = list.instances[i].info;
    self.incarnation = 1;
    this->nodes[i].membership = std::make_unique<Membership>(
        self, MembershipOptions{}, Clock(&this->manual), run.seed + i);
    this->nodes[i].membership->TakeList(list);
  }
}

bool MembershipFleet::Arrives() {
  return !absl::Bernoulli(this->random, this->run.message_loss);
}

// A request and its answer, each of which may be lost. True if the sender got
// the answer.
bool MembershipFleet::Exchange(std::size_t from, std::size_t to) {
  Node& sender = this->nodes[from];
  Node& receiver = this->nodes[to];
  const auto carry = [this](Node& a, Node& b, std::size_t b_index) {
    const std::vector<MemberStatus> updates =
        a.membership->Updates(NameOf(b_index));
    ++this->messages;
    this->updates += static_cast<std::int64_t>(updates.size());
    if (!b.alive || !this->Arrives()) return false;
    b.membership->Receive(a.membership->Self(), updates);
    b.has_news = b.has_news || a.has_news;
    return true;
  };
  return carry(sender, receiver, to) && carry(receiver, sender, from);
}

void MembershipFleet::Round(std::size_t node) {
  Node& own = this->nodes[node];
  own.membership->Tick();
  const auto next = own.membership->NextToProbe();
  if (!next.has_value()) return;
  const std::size_t target = std::stoul(next->info.name.substr(1));
  // The real exchange repeats on a new connection.
  if (this->Exchange(node, target) || this->Exchange(node, target)) return;
  for (const MemberStatus& helper :
       own.membership->SampleAlive(kHelpers, next->info.name)) {
    const std::size_t through = std::stoul(helper.info.name.substr(1));
    if (this->Exchange(node, through) && this->Exchange(through, target)) {
      return;
    }
  }
  own.membership->ReportProbeFailure(next->info.name);
}

void MembershipFleet::Judge() {
  bool known_everywhere = true;
  for (std::size_t a = 0; a < this->nodes.size(); ++a) {
    if (!this->nodes[a].alive) continue;
    for (std::size_t b = 0; b < this->nodes.size(); ++b) {
      if (a == b) continue;
      const auto found = this->nodes[a].membership->Find(NameOf(b));
      const bool dead = found.has_value() && found->state == MemberState::kDead;
      bool& before = this->judged_dead[{a, b}];
      if (dead && !before && this->nodes[b].alive) ++this->result.false_deaths;
      before = dead;
      if (b == kVictim && !dead) known_everywhere = false;
    }
  }
  const bool killed = !this->nodes[kVictim].alive;
  if (killed && known_everywhere) {
    this->result.death_known_after = std::min(
        this->result.death_known_after, this->manual.Now() - this->run.kill_at);
  }
  const bool news_everywhere =
      std::all_of(this->nodes.begin(), this->nodes.end(),
                  [](const Node& n) { return !n.alive || n.has_news; });
  if (news_everywhere) {
    this->result.news_everywhere_after = std::min(
        this->result.news_everywhere_after, this->manual.Now() - kNewsAt);
  }
}

// Rounds of different instances are spread over the period.
MembershipResult MembershipFleet::Run() {
  const absl::Duration step = this->nodes[0].membership->Period() /
                              static_cast<double>(this->nodes.size());
  bool news_given = false;
  for (std::size_t i = 0; this->manual.Now() < this->run.length; ++i) {
    this->manual.Advance(step);
    const std::size_t node = i % this->nodes.size();
    if (this->manual.Now() >= this->run.kill_at) {
      this->nodes[kVictim].alive = false;
    }
    if (!news_given && this->manual.Now() >= kNewsAt) {
      news_given = true;
      this->nodes[0].has_news = true;
    }
    const bool had_news = this->nodes[node].has_news;
    if (this->nodes[node].alive) this->Round(node);
    // Whoever hears of something new passes it on at once.
    if (!had_news && this->nodes[node].has_news) {
      for (const MemberStatus& other :
           this->nodes[node].membership->SampleAlive(kNewsFanout, "")) {
        this->Exchange(node, std::stoul(other.info.name.substr(1)));
      }
    }
    if (node == 0) this->Judge();
  }
  const double seconds = absl::ToDoubleSeconds(this->run.length);
  this->result.messages_per_second = static_cast<double>(this->messages) /
                                     seconds /
                                     static_cast<double>(this->nodes.size());
  this->result.updates_per_message =
      static_cast<double>(this->updates) /
      static_cast<double>(std::max<std::int64_t>(1, this->messages));
  return this->result;
}

}  // namespace dragonflyglade
