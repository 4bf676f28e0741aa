#include "measure/model/limits_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

constexpr const char* kWorkspace = "w";
constexpr absl::Duration kShortestDelay = absl::Microseconds(200);
constexpr absl::Duration kLongestDelay = absl::Microseconds(1200);
constexpr absl::Duration kBorrowTimeout = absl::Milliseconds(50);
constexpr absl::Duration kGossipEvery = absl::Milliseconds(300);
constexpr absl::Duration kLargeGossipEvery = absl::Milliseconds(500);
constexpr absl::Duration kKeepEvery = absl::Milliseconds(500);
constexpr absl::Duration kMoveEvery = absl::Seconds(10);
constexpr std::size_t kSmallFleet = 8;
constexpr std::size_t kHoldersInLargeFleet = 4;
// Three phases with requests, then one without.
constexpr int kPhases = 4;
constexpr int kLastPhase = 2;
constexpr int kPausePhase = 3;
// Time before the first request, in which shares are given out and filled.
constexpr absl::Duration kWarmUp = absl::Seconds(6);

std::string NameOf(std::size_t node) { return fmt::format("i{:03}", node); }

}  // namespace

std::size_t OwnerIndex(std::size_t instances) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < instances; ++i) names.push_back(NameOf(i));
  return std::stoul(RendezvousOwners(kWorkspace, names, 1).front().substr(1));
}

LimitsFleet::LimitsFleet(const LimitsRun& run)
    : run(run),
      clock(&this->manual),
      random(run.seed),
      gone(RateLimiterOptions{}.max_reservation_wait +
               RateLimiterOptions{}.min_hold,
           this->clock),
      ideal(Instant()) {
  this->allotment.workspace = kWorkspace;
  // Skewed traffic goes to an instance that lives.
  this->favourite = (OwnerIndex(run.instances) + 1) % run.instances;
  this->nodes.resize(run.instances);
  for (std::size_t i = 0; i < run.instances; ++i) this->Restart(i);
  std::set<std::string> all;
  for (std::size_t i = 0; i < run.instances; ++i) all.insert(NameOf(i));
  this->lists.emplace_back(Instant(), all);
  this->ideal.Configure(run.rate * run.pressure, run.burst, Instant());
}

void LimitsFleet::Restart(std::size_t node) {
  Node& at = this->nodes[node];
  if (at.book != nullptr) ++at.incarnation;
  at.alive = true;
  at.paused_until = Instant();
  at.book = std::make_unique<DistributedRateLimiter>(
      NameOf(node), at.incarnation, RateLimiterOptions{}, this->clock);
  at.book->SetRate(kWorkspace, RateLimit{this->run.rate, this->run.burst});
  // The configuration, allotment included, comes from the service or a peer.
  if (this->allotment.epoch > 0) at.book->ApplyAllotment(this->allotment);
}

void LimitsFleet::At(Instant when, std::function<void()> action) {
  this->queue.emplace(std::max(when, this->manual.Now()), std::move(action));
}

absl::Duration LimitsFleet::Delay() {
  return absl::Uniform(this->random, 0.0, 1.0) *
             (kLongestDelay - kShortestDelay) +
         kShortestDelay;
}

Instant LimitsFleet::Awake(std::size_t node) const {
  return std::max(this->manual.Now(), this->nodes[node].paused_until);
}

bool LimitsFleet::Reaches(std::size_t from, std::size_t to) const {
  const Instant now = this->manual.Now();
  return this->nodes[from].cut_until <= now &&
         this->nodes[to].cut_until <= now && this->nodes[to].alive;
}

std::size_t LimitsFleet::IndexOf(const std::string& name) const {
  return std::stoul(name.substr(1));
}

std::size_t LimitsFleet::Choose() {
  const auto usable = [this](std::size_t node) {
    return this->nodes[node].alive &&
           this->nodes[node].paused_until <= this->manual.Now();
  };
  if (this->run.arrival != Arrival::kEven && usable(this->favourite)) {
    return this->favourite;
  }
  for (int attempt = 0; attempt < 100; ++attempt) {
    const auto node =
        absl::Uniform<std::size_t>(this->random, 0, this->nodes.size());
    if (usable(node)) return node;
  }
  return 0;
}

int LimitsFleet::Phase() const {
  const double phases = absl::FDivDuration(this->manual.Now(), this->run.phase);
  return static_cast<int>(static_cast<std::int64_t>(phases) % kPhases);
}

void LimitsFleet::Arrive() {
  const Instant now = this->manual.Now();
  const double mean =
      this->run.cost / (2 * this->run.rate * std::max(1.0, this->run.pressure));
  this->At(now + absl::Seconds(absl::Exponential(this->random, 1 / mean)),
           [this] { this->Arrive(); });
  // On and off, so that bursts come after silence as well.
  if (this->Phase() == kPausePhase) return;
  if (!this->ideal.Withdraw(this->run.cost, now)) return;
  ++this->result.offered;
  const std::size_t node = this->Choose();
  Node& at = this->nodes[node];
  if (!at.alive) return;
  auto admission = std::make_shared<Admission>(
      at.book->Begin(kWorkspace, this->run.cost, this->run.max_wait));
  this->Step(node, at.incarnation, admission);
}

void LimitsFleet::Step(std::size_t node, std::int64_t incarnation,
                       std::shared_ptr<Admission> admission) {
  Node& at = this->nodes[node];
  // A request of a dead process is lost with it.
  if (!at.alive || at.incarnation != incarnation) return;
  if (at.paused_until > this->manual.Now()) {
    this->At(at.paused_until,
             [=, this] { this->Step(node, incarnation, admission); });
    return;
  }
  const AdmissionStep step = at.book->Next(*admission);
  if (std::holds_alternative<Admitted>(step)) {
    const Instant now = this->manual.Now();
    this->result.history.emplace_back(
        AdmittedEvent{now, kWorkspace, this->run.cost});
    // What comes before a pause is hardly used, what comes after it wholly:
    // the worst order for late refunds.
    if (this->run.unused == 0 || this->Phase() != kLastPhase) return;
    const double unused = this->run.unused * this->run.cost;
    const absl::Duration after =
        absl::Uniform(this->random, 0.0, 2.0) * absl::Seconds(1);
    this->At(now + after, [=, this] {
      Node& later = this->nodes[node];
      if (!later.alive || later.incarnation != incarnation) return;
      this->result.history.emplace_back(UnusedEvent{now, kWorkspace, unused});
      Admission settled = *admission;
      // A plain refund is one that claims to have been charged just now.
      if (this->run.naive_refund) settled.charged = this->manual.Now();
      later.book->Settle(settled, this->run.cost - unused);
    });
  } else if (const auto* borrow = std::get_if<BorrowFromPeer>(&step)) {
    this->Borrow(node, incarnation, admission, *borrow);
  } else if (const auto* wait = std::get_if<WaitFor>(&step)) {
    this->At(this->manual.Now() + wait->delay,
             [=, this] { this->Step(node, incarnation, admission); });
  } else {
    ++this->result.refused;
    if (const auto* over = std::get_if<OverRate>(&step)) {
      this->GiveBack(node, *over);
    }
  }
}

void LimitsFleet::GiveBack(std::size_t node, const OverRate& over) {
  for (const LoanReturn& part : over.returns) {
    ++this->result.messages;
    const std::size_t lender = this->IndexOf(part.peer);
    const bool lost = absl::Bernoulli(this->random, this->run.message_loss);
    if (lost || !this->Reaches(node, lender)) continue;
    const std::int64_t incarnation = this->nodes[lender].incarnation;
    this->At(this->manual.Now() + this->Delay(), [=, this] {
      this->At(this->Awake(lender), [=, this] {
        Node& at = this->nodes[lender];
        if (!at.alive || at.incarnation != incarnation) return;
        at.book->ReceiveReturn(kWorkspace, part.tokens, part.stamp);
      });
    });
  }
}

void LimitsFleet::Borrow(std::size_t node, std::int64_t incarnation,
                         const std::shared_ptr<Admission>& admission,
                         const BorrowFromPeer& step) {
  if (this->run.way == SharingWay::kStaticSplit) {
    this->nodes[node].book->CompleteLoan(*admission, step.peer, std::nullopt);
    this->Step(node, incarnation, admission);
    return;
  }
  const std::size_t lender = this->IndexOf(step.peer);
  const Instant sent = this->manual.Now();
  auto answered = std::make_shared<bool>(false);
  const auto finish = [=, this](const std::optional<Loan>& loan) {
    if (*answered) return;
    *answered = true;
    Node& at = this->nodes[node];
    if (!at.alive || at.incarnation != incarnation) return;
    at.book->CompleteLoan(*admission, step.peer, loan);
    this->Step(node, incarnation, admission);
  };
  // The timer of a paused process fires when it wakes.
  this->At(sent + kBorrowTimeout, [=, this] {
    this->At(this->Awake(node), [=] { finish(std::nullopt); });
  });
  ++this->result.messages;
  const bool lost = absl::Bernoulli(this->random, this->run.message_loss);
  if (lost || !this->Reaches(node, lender)) return;
  this->At(sent + this->Delay(), [=, this] {
    this->At(this->Awake(lender), [=, this] {
      if (!this->nodes[lender].alive) return;
      const Loan loan = this->nodes[lender].book->LendTokens(
          kWorkspace, step.tokens, step.longest);
      ++this->result.messages;
      const bool answer_lost =
          absl::Bernoulli(this->random, this->run.message_loss);
      if (answer_lost || !this->Reaches(lender, node)) return;
      this->At(this->manual.Now() + this->Delay(), [=, this] {
        this->At(this->Awake(node), [=] { finish(loan); });
      });
    });
  });
}

// What the real keeper does, with the service's compare-and-swap reduced to
// one variable.
void LimitsFleet::Keep() {
  this->At(this->manual.Now() + kKeepEvery, [this] { this->Keep(); });
  const bool out = this->run.kv_out && this->manual.Now() > kWarmUp;
  if (out) return;
  AllotmentInputs view;
  const Instant visible = this->manual.Now() - this->run.list_lag;
  for (std::size_t i = 0; i < this->lists.size(); ++i) {
    if (i > 0 && this->lists[i].first > visible) break;
    view.listed = this->lists[i].second;
    view.list_version = static_cast<std::int64_t>(i + 1);
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    const Node& node = this->nodes[i];
    const Instant now = this->manual.Now();
    const bool answers =
        node.alive && node.paused_until <= now && node.cut_until <= now;
    if (!answers) continue;
    view.answering[NameOf(i)] = node.incarnation;
    view.confirmed[NameOf(i)] = node.book->ConfirmedEpoch(kWorkspace);
    if (view.listed.count(NameOf(i)) > 0) names.push_back(NameOf(i));
  }
  std::size_t holders = this->run.instances <= kSmallFleet
                            ? this->run.instances
                            : kHoldersInLargeFleet;
  if (this->run.way == SharingWay::kOneOwner) holders = 1;
  for (const std::string& name : RendezvousOwners(kWorkspace, names, holders)) {
    view.wanted.push_back(OwnerCandidate{name, view.answering[name]});
  }
  view.settled = this->gone.UpdateReclaimable(this->allotment, view);
  const std::optional<Allotment> next =
      PlanNextAllotment(this->allotment, view);
  if (!next.has_value()) return;
  this->allotment = *next;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    const Allotment& copy = this->allotment;
    this->At(this->manual.Now() + 10 * this->Delay(), [=, this] {
      this->At(this->Awake(i), [=, this] {
        if (this->nodes[i].alive && this->Reaches(i, i)) {
          this->nodes[i].book->ApplyAllotment(copy);
        }
      });
    });
  }
}

void LimitsFleet::Gossip() {
  const bool small = this->nodes.size() <= kSmallFleet;
  this->At(this->manual.Now() + (small ? kGossipEvery : kLargeGossipEvery),
           [this] { this->Gossip(); });
  for (std::size_t from = 0; from < this->nodes.size(); ++from) {
    const Node& sender = this->nodes[from];
    if (!sender.alive || sender.paused_until > this->manual.Now()) continue;
    const auto to =
        absl::Uniform<std::size_t>(this->random, 0, this->nodes.size());
    if (to == from || !this->Reaches(from, to)) continue;
    for (const WorkspaceBalance& balance : sender.book->Balances(16)) {
      this->nodes[to].book->Learn(NameOf(from), balance);
    }
    for (const WorkspaceBalance& balance : this->nodes[to].book->Balances(16)) {
      sender.book->Learn(NameOf(to), balance);
    }
    // A cut instance catches up with the allotment when it is back.
    if (this->allotment.epoch > 0) sender.book->ApplyAllotment(this->allotment);
  }
}

void LimitsFleet::Apply(const Fault& fault) {
  Node& node = this->nodes[fault.instance % this->nodes.size()];
  const std::size_t index = fault.instance % this->nodes.size();
  const Instant now = this->manual.Now();
  switch (fault.kind) {
    case FaultKind::kKill: {
      node.alive = false;
      std::set<std::string> listed = this->lists.back().second;
      listed.erase(NameOf(index));
      this->lists.emplace_back(now, listed);
      break;
    }
    case FaultKind::kPause:
      node.paused_until = now + fault.length;
      break;
    case FaultKind::kRestart: {
      this->Restart(index);
      std::set<std::string> listed = this->lists.back().second;
      listed.insert(NameOf(index));
      this->lists.emplace_back(now, listed);
      break;
    }
    case FaultKind::kCut:
      node.cut_until = now + fault.length;
      break;
  }
}

LimitsResult LimitsFleet::Run() {
  this->Keep();
  this->Gossip();
  this->At(kWarmUp, [this] { this->Arrive(); });
  for (const Fault& fault : this->run.faults) {
    this->At(kWarmUp + fault.at, [this, fault] { this->Apply(fault); });
  }
  if (this->run.arrival == Arrival::kMoving) {
    for (Instant at = kWarmUp; at < kWarmUp + this->run.length;
         at += kMoveEvery) {
      this->At(at, [this] {
        this->favourite =
            absl::Uniform<std::size_t>(this->random, 0, this->nodes.size());
      });
    }
  }
  const Instant end = kWarmUp + this->run.length;
  while (!this->queue.empty() && this->queue.begin()->first < end) {
    const auto next = this->queue.begin();
    const std::function<void()> action = std::move(next->second);
    this->manual.Advance(next->first - this->manual.Now());
    this->queue.erase(next);
    action();
  }
  this->result.overshoot = LargestOvershoot(this->result.history, kWorkspace,
                                            this->run.rate, this->run.burst);
  return this->result;
}

}  // namespace dragonflyglade
