#include "measure/model/limits_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "absl/random/distributions.h"
#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

constexpr const char* kWorkspace = "w";
constexpr absl::Duration kMinNetworkDelay = absl::Microseconds(200);
constexpr absl::Duration kMaxNetworkDelay = absl::Microseconds(1200);
constexpr absl::Duration kBorrowTimeout = absl::Milliseconds(50);
constexpr absl::Duration kGossipPeriod = absl::Milliseconds(300);
constexpr absl::Duration kLargeFleetGossipPeriod = absl::Milliseconds(500);
constexpr absl::Duration kAllotmentPeriod = absl::Milliseconds(500);
constexpr absl::Duration kPreferredInstancePeriod = absl::Seconds(10);
constexpr std::size_t kSmallFleetInstances = 8;
constexpr std::size_t kLargeFleetOwners = 4;
// Three phases with requests are followed by an idle one.
constexpr int kPhaseCount = 4;
constexpr int kLastBusyPhase = 2;
constexpr int kIdlePhase = 3;
// Time before the first request, in which shares are assigned and their buckets
// fill.
constexpr absl::Duration kWarmUp = absl::Seconds(6);

std::string NameOf(std::size_t instance) {
  return fmt::format("i{:03}", instance);
}

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
      terminated_owners(RateLimiterOptions{}.max_reservation_wait +
                            RateLimiterOptions{}.min_hold,
                        this->clock),
      reference_bucket(Instant()) {
  this->allotment.workspace = kWorkspace;
  // Skewed traffic goes to an instance that the fault scenarios, which kill or
  // pause the owner, do not stop.
  this->preferred_instance = (OwnerIndex(run.instances) + 1) % run.instances;
  this->instances.resize(run.instances);
  for (std::size_t i = 0; i < run.instances; ++i) this->Restart(i);
  std::set<std::string> all;
  for (std::size_t i = 0; i < run.instances; ++i) all.insert(NameOf(i));
  this->list_history.emplace_back(Instant(), all);
  this->reference_bucket.Configure(run.rate * run.load_factor, run.burst,
                                   Instant());
}

void LimitsFleet::Restart(std::size_t instance) {
  Instance& self = this->instances[instance];
  if (self.limiter != nullptr) ++self.incarnation;
  self.alive = true;
  self.paused_until = Instant();
  self.limiter = std::make_unique<DistributedRateLimiter>(
      NameOf(instance), self.incarnation, RateLimiterOptions{}, this->clock);
  self.limiter->SetRate(kWorkspace, RateLimit{this->run.rate, this->run.burst});
  // A restarted instance reads the configuration, which includes the allotment,
  // from the key-value service or a peer.
  if (this->allotment.epoch > 0) self.limiter->ApplyAllotment(this->allotment);
}

void LimitsFleet::Schedule(Instant when, std::function<void()> action) {
  this->events.emplace(std::max(when, this->manual.Now()), std::move(action));
}

absl::Duration LimitsFleet::DrawNetworkDelay() {
  return absl::Uniform(this->random, 0.0, 1.0) *
             (kMaxNetworkDelay - kMinNetworkDelay) +
         kMinNetworkDelay;
}

Instant LimitsFleet::WakeTime(std::size_t instance) const {
  return std::max(this->manual.Now(), this->instances[instance].paused_until);
}

bool LimitsFleet::CanReach(std::size_t from, std::size_t to) const {
  const Instant now = this->manual.Now();
  return this->instances[from].partitioned_until <= now &&
         this->instances[to].partitioned_until <= now &&
         this->instances[to].alive;
}

std::size_t LimitsFleet::IndexOf(const std::string& name) const {
  return std::stoul(name.substr(1));
}

std::size_t LimitsFleet::ChooseInstance() {
  const auto is_running = [this](std::size_t instance) {
    return this->instances[instance].alive &&
           this->instances[instance].paused_until <= this->manual.Now();
  };
  if (this->run.arrival != ArrivalPattern::kEven &&
      is_running(this->preferred_instance)) {
    return this->preferred_instance;
  }
  for (int attempt = 0; attempt < 100; ++attempt) {
    const auto instance =
        absl::Uniform<std::size_t>(this->random, 0, this->instances.size());
    if (is_running(instance)) return instance;
  }
  return 0;
}

int LimitsFleet::CurrentPhase() const {
  const double phases =
      absl::FDivDuration(this->manual.Now(), this->run.phase_length);
  return static_cast<int>(static_cast<std::int64_t>(phases) % kPhaseCount);
}

void LimitsFleet::GenerateRequest() {
  const Instant now = this->manual.Now();
  const double mean = this->run.cost / (2 * this->run.rate *
                                        std::max(1.0, this->run.load_factor));
  this->Schedule(now + absl::Seconds(absl::Exponential(this->random, 1 / mean)),
                 [this] { this->GenerateRequest(); });
  // The idle phase lets buckets fill, so that bursts after it are simulated
  // too.
  if (this->CurrentPhase() == kIdlePhase) return;
  if (!this->reference_bucket.Withdraw(this->run.cost, now)) return;
  ++this->result.offered;
  const std::size_t instance = this->ChooseInstance();
  Instance& self = this->instances[instance];
  if (!self.alive) return;
  auto admission = std::make_shared<Admission>(self.limiter->BeginAdmission(
      kWorkspace, this->run.cost, this->run.max_wait));
  this->ContinueAdmission(instance, self.incarnation, admission);
}

void LimitsFleet::ContinueAdmission(std::size_t instance,
                                    std::int64_t incarnation,
                                    std::shared_ptr<Admission> admission) {
  Instance& self = this->instances[instance];
  // A request is lost when the process that holds it terminates.
  if (!self.alive || self.incarnation != incarnation) return;
  if (self.paused_until > this->manual.Now()) {
    this->Schedule(self.paused_until, [=, this] {
      this->ContinueAdmission(instance, incarnation, admission);
    });
    return;
  }
  const AdmissionStep step = self.limiter->Next(*admission);
  if (std::holds_alternative<Admitted>(step)) {
    const Instant now = this->manual.Now();
    this->result.history.emplace_back(
        AdmittedEvent{now, kWorkspace, this->run.cost});
    // Requests before the idle phase are refunded in part, those after it are
    // not refunded. This is the worst order for late refunds: the bucket may
    // have filled up in the idle phase before the refund arrives.
    if (this->run.unused_fraction == 0 ||
        this->CurrentPhase() != kLastBusyPhase)
      return;
    const double unused = this->run.unused_fraction * this->run.cost;
    const absl::Duration after =
        absl::Uniform(this->random, 0.0, 2.0) * absl::Seconds(1);
    this->Schedule(now + after, [=, this] {
      Instance& later = this->instances[instance];
      if (!later.alive || later.incarnation != incarnation) return;
      this->result.history.emplace_back(UnusedEvent{now, kWorkspace, unused});
      Admission refunded = *admission;
      // The naive refund moves the charge to the present time, so that the
      // limiter does not see the overflow since the real charge.
      if (this->run.naive_refund) refunded.charged = this->manual.Now();
      later.limiter->RefundUnused(refunded, this->run.cost - unused);
    });
  } else if (const auto* borrow = std::get_if<BorrowFromPeer>(&step)) {
    this->Borrow(instance, incarnation, admission, *borrow);
  } else if (const auto* wait = std::get_if<WaitFor>(&step)) {
    this->Schedule(this->manual.Now() + wait->delay, [=, this] {
      this->ContinueAdmission(instance, incarnation, admission);
    });
  } else {
    ++this->result.refused;
    if (const auto* over = std::get_if<OverRate>(&step)) {
      this->ReturnLoans(instance, *over);
    }
  }
}

void LimitsFleet::ReturnLoans(std::size_t instance, const OverRate& over) {
  for (const LoanReturn& loan : over.returns) {
    ++this->result.messages;
    const std::size_t lender = this->IndexOf(loan.peer);
    const bool lost = absl::Bernoulli(this->random, this->run.message_loss);
    if (lost || !this->CanReach(instance, lender)) continue;
    const std::int64_t incarnation = this->instances[lender].incarnation;
    this->Schedule(this->manual.Now() + this->DrawNetworkDelay(), [=, this] {
      this->Schedule(this->WakeTime(lender), [=, this] {
        Instance& self = this->instances[lender];
        if (!self.alive || self.incarnation != incarnation) return;
        self.limiter->ReceiveReturn(kWorkspace, loan.tokens, loan.stamp);
      });
    });
  }
}

void LimitsFleet::Borrow(std::size_t instance, std::int64_t incarnation,
                         const std::shared_ptr<Admission>& admission,
                         const BorrowFromPeer& step) {
  if (this->run.mode == SharingMode::kStaticSplit) {
    this->instances[instance].limiter->CompleteLoan(*admission, step.peer,
                                                    std::nullopt);
    this->ContinueAdmission(instance, incarnation, admission);
    return;
  }
  const std::size_t lender = this->IndexOf(step.peer);
  const Instant sent = this->manual.Now();
  auto completed = std::make_shared<bool>(false);
  const auto finish = [=, this](const std::optional<Loan>& loan) {
    if (*completed) return;
    *completed = true;
    Instance& self = this->instances[instance];
    if (!self.alive || self.incarnation != incarnation) return;
    self.limiter->CompleteLoan(*admission, step.peer, loan);
    this->ContinueAdmission(instance, incarnation, admission);
  };
  // The timer of a paused process fires when the process resumes.
  this->Schedule(sent + kBorrowTimeout, [=, this] {
    this->Schedule(this->WakeTime(instance), [=] { finish(std::nullopt); });
  });
  ++this->result.messages;
  const bool lost = absl::Bernoulli(this->random, this->run.message_loss);
  if (lost || !this->CanReach(instance, lender)) return;
  this->Schedule(sent + this->DrawNetworkDelay(), [=, this] {
    this->Schedule(this->WakeTime(lender), [=, this] {
      if (!this->instances[lender].alive) return;
      const Loan loan = this->instances[lender].limiter->LendTokens(
          kWorkspace, step.tokens, step.max_wait);
      ++this->result.messages;
      const bool response_lost =
          absl::Bernoulli(this->random, this->run.message_loss);
      if (response_lost || !this->CanReach(lender, instance)) return;
      this->Schedule(this->manual.Now() + this->DrawNetworkDelay(), [=, this] {
        this->Schedule(this->WakeTime(instance), [=] { finish(loan); });
      });
    });
  });
}

// Plans the next allotment with the production code. A member variable stands
// in for the record that production updates by compare-and-swap.
void LimitsFleet::UpdateAllotment() {
  this->Schedule(this->manual.Now() + kAllotmentPeriod,
                 [this] { this->UpdateAllotment(); });
  const bool kv_down = this->run.kv_unavailable && this->manual.Now() > kWarmUp;
  if (kv_down) return;
  AllotmentInputs inputs;
  const Instant visible = this->manual.Now() - this->run.list_lag;
  for (std::size_t i = 0; i < this->list_history.size(); ++i) {
    if (i > 0 && this->list_history[i].first > visible) break;
    inputs.listed = this->list_history[i].second;
    inputs.list_version = static_cast<std::int64_t>(i + 1);
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const Instance& instance = this->instances[i];
    const Instant now = this->manual.Now();
    const bool responds = instance.alive && instance.paused_until <= now &&
                          instance.partitioned_until <= now;
    if (!responds) continue;
    inputs.responding[NameOf(i)] = instance.incarnation;
    inputs.confirmed_epochs[NameOf(i)] =
        instance.limiter->ConfirmedEpoch(kWorkspace);
    if (inputs.listed.count(NameOf(i)) > 0) names.push_back(NameOf(i));
  }
  std::size_t owner_count = this->run.instances <= kSmallFleetInstances
                                ? this->run.instances
                                : kLargeFleetOwners;
  if (this->run.mode == SharingMode::kOneOwner) owner_count = 1;
  for (const std::string& name :
       RendezvousOwners(kWorkspace, names, owner_count)) {
    inputs.candidates.push_back(OwnerCandidate{name, inputs.responding[name]});
  }
  inputs.reclaimable =
      this->terminated_owners.UpdateReclaimable(this->allotment, inputs);
  const std::optional<Allotment> next =
      PlanNextAllotment(this->allotment, inputs);
  if (!next.has_value()) return;
  this->allotment = *next;
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    const Allotment& copy = this->allotment;
    this->Schedule(this->manual.Now() + 10 * this->DrawNetworkDelay(),
                   [=, this] {
                     this->Schedule(this->WakeTime(i), [=, this] {
                       if (this->instances[i].alive && this->CanReach(i, i)) {
                         this->instances[i].limiter->ApplyAllotment(copy);
                       }
                     });
                   });
  }
}

void LimitsFleet::ExchangeBalances() {
  const bool small = this->instances.size() <= kSmallFleetInstances;
  this->Schedule(
      this->manual.Now() + (small ? kGossipPeriod : kLargeFleetGossipPeriod),
      [this] { this->ExchangeBalances(); });
  for (std::size_t from = 0; from < this->instances.size(); ++from) {
    const Instance& sender = this->instances[from];
    if (!sender.alive || sender.paused_until > this->manual.Now()) continue;
    const auto to =
        absl::Uniform<std::size_t>(this->random, 0, this->instances.size());
    if (to == from || !this->CanReach(from, to)) continue;
    for (const WorkspaceBalance& balance : sender.limiter->Balances(16)) {
      this->instances[to].limiter->ReceiveBalance(NameOf(from), balance);
    }
    for (const WorkspaceBalance& balance :
         this->instances[to].limiter->Balances(16)) {
      sender.limiter->ReceiveBalance(NameOf(to), balance);
    }
    // An instance that missed an allotment during a network partition receives
    // it with the first exchange after the partition.
    if (this->allotment.epoch > 0)
      sender.limiter->ApplyAllotment(this->allotment);
  }
}

void LimitsFleet::InjectFault(const Fault& fault) {
  Instance& instance = this->instances[fault.instance % this->instances.size()];
  const std::size_t index = fault.instance % this->instances.size();
  const Instant now = this->manual.Now();
  switch (fault.kind) {
    case FaultKind::kKill: {
      instance.alive = false;
      std::set<std::string> listed = this->list_history.back().second;
      listed.erase(NameOf(index));
      this->list_history.emplace_back(now, listed);
      break;
    }
    case FaultKind::kPause:
      instance.paused_until = now + fault.length;
      break;
    case FaultKind::kRestart: {
      this->Restart(index);
      std::set<std::string> listed = this->list_history.back().second;
      listed.insert(NameOf(index));
      this->list_history.emplace_back(now, listed);
      break;
    }
    case FaultKind::kPartition:
      instance.partitioned_until = now + fault.length;
      break;
  }
}

LimitsResult LimitsFleet::Run() {
  this->UpdateAllotment();
  this->ExchangeBalances();
  this->Schedule(kWarmUp, [this] { this->GenerateRequest(); });
  for (const Fault& fault : this->run.faults) {
    this->Schedule(kWarmUp + fault.at,
                   [this, fault] { this->InjectFault(fault); });
  }
  if (this->run.arrival == ArrivalPattern::kMoving) {
    for (Instant at = kWarmUp; at < kWarmUp + this->run.length;
         at += kPreferredInstancePeriod) {
      this->Schedule(at, [this] {
        this->preferred_instance =
            absl::Uniform<std::size_t>(this->random, 0, this->instances.size());
      });
    }
  }
  const Instant end = kWarmUp + this->run.length;
  RunEvents(this->events, this->manual, end);
  this->result.overshoot = LargestOvershoot(this->result.history, kWorkspace,
                                            this->run.rate, this->run.burst);
  return this->result;
}

}  // namespace dragonflyglade
