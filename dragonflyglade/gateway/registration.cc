#include "dragonflyglade/gateway/registration.h"

#include <time.h>

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// An answer takes milliseconds; a call that fails is made again well within
// the lease.
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);
// Renewals in one lease: three may fail before it ends.
constexpr int kRenewalsPerLease = 4;
// Of the whole store, by a fleet whose processes all start at once.
constexpr absl::Duration kListingTimeout = absl::Seconds(3);
constexpr absl::Duration kListingPollInterval = absl::Milliseconds(20);
// Between looks at whether the duty is vacant.
constexpr absl::Duration kDutyLook = absl::Milliseconds(250);
// How much later each further candidate tries: one store call more than the
// first one needs, so that normally only one writes.
constexpr absl::Duration kCandidacyStep = absl::Milliseconds(100);
constexpr int kMaxCandidacySteps = 10;

}  // namespace

LocalTime ReadLocalTime() {
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  return {SteadyClock().Now(), absl::DurationFromTimespec(boot)};
}

Registration::Registration(asio::io_context& context, StoreLink& store,
                           FleetState& fleet, DutyLease& duty,
                           InstanceRecord self, LeaseTimes lease_times,
                           EventLog& log, Clock clock)
    : context(context),
      store(store),
      fleet(fleet),
      duty(duty),
      self(std::move(self)),
      lease_times(lease_times),
      log(log),
      clock(std::move(clock)) {}

// Whether callers are sent here shows in the listing. Without it, each instance
// of a large fleet would ask for a short lease, and for a long one at once.
asio::awaitable<void> Registration::WaitForListing() {
  const Instant begun = this->clock.Now();
  while (!this->fleet.WasListed() && !this->leaving &&
         this->clock.Now() - begun < kListingTimeout) {
    co_await Sleep(this->context, kListingPollInterval);
  }
}

asio::awaitable<void> Registration::Run() {
  co_await this->WaitForListing();
  Instant next_renewal = this->clock.Now();
  while (!this->leaving) {
    const Instant now = this->clock.Now();
    if (this->lease == 0 || this->NeedsDifferentTtl()) {
      co_await this->Grant();
      next_renewal = now + this->granted / kRenewalsPerLease;
    } else if (!this->entered) {
      co_await this->Enter();
    } else if (now >= next_renewal) {
      next_renewal = now + this->granted / kRenewalsPerLease;
      co_await this->Renew();
    }
    if (this->entered && !this->leaving) co_await this->TryBecomeLeader();
    co_await Sleep(this->context, this->entered ? kDutyLook : kRetryPause);
  }
}

asio::awaitable<void> Registration::Grant() {
  const LocalTime sent = ReadLocalTime();
  const absl::Duration wanted = this->WantedTtl();
  StoreCall call = StoreGrant{wanted};
  const StoreReply reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  const auto* lease = std::get_if<StoreLease>(&reply);
  if (lease == nullptr) co_return;
  this->lease = lease->lease;
  this->granted = lease->ttl;
  this->asked_for = wanted;
  this->renewed = sent;
  // The entry moves to the new lease; the end of the one before, if there is
  // one, then removes nothing.
  co_await this->Enter();
}

asio::awaitable<void> Registration::Enter() {
  StoreTransaction transaction;
  transaction.puts.push_back({FleetState::InstanceKey(this->self.name),
                              EncodeInstanceRecord(this->self), this->lease});
  StoreCall call = std::move(transaction);
  const StoreReply reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreNoLease>(reply)) this->HandleLeaseLoss();
  this->entered = std::holds_alternative<StoreCommitted>(reply);
  if (this->entered) {
    this->log.Write("registration", "entered", {{"lease", this->lease}});
  }
}

asio::awaitable<void> Registration::Renew() {
  const LocalTime sent = ReadLocalTime();
  StoreCall call = StoreRenewal{this->lease};
  const StoreReply reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreNoLease>(reply)) {
    this->HandleLeaseLoss();
    co_return;
  }
  const auto* lease = std::get_if<StoreLease>(&reply);
  if (lease == nullptr) co_return;
  this->granted = lease->ttl;
  this->renewed = sent;
  if (this->duty.Held()) this->duty.Renewed(sent, lease->ttl);
}

void Registration::HandleLeaseLoss() {
  this->log.Write("registration", "lease ended",
                  {{"lease", this->lease}, {"held_duty", this->duty.Held()}});
  this->lease = 0;
  this->entered = false;
  this->duty.Lost();
}

bool Registration::HoldsLeaderEntry() const {
  const auto& holder = this->fleet.Duty();
  return holder.has_value() && holder->lease == this->lease &&
         holder->instance.incarnation == this->self.incarnation;
}

// What the store shows goes before what this instance knows of its lease: a
// later change of the duty means that somebody else may hold it.
void Registration::CheckLeadership() {
  if (!this->duty.Held() || this->HoldsLeaderEntry()) return;
  if (this->fleet.DutyRevision() <= this->duty.Fence()) return;
  this->log.Write("duty", "lost to another",
                  {{"fence", this->duty.Fence()},
                   {"revision", this->fleet.DutyRevision()}});
  this->duty.Lost();
}

absl::Duration Registration::WantedTtl() const {
  return this->fleet.IsListed(this->self.name) ? this->lease_times.listed
                                               : this->lease_times.unlisted;
}

// The lease that the duty stands under must not change: orders carry it.
bool Registration::NeedsDifferentTtl() const {
  if (!this->entered || this->HoldsLeaderEntry()) return false;
  if (this->fleet.Instances().count(this->self.name) == 0) return false;
  return this->WantedTtl() != this->asked_for;
}

absl::Duration Registration::CandidacyDelay() const {
  // The holder sends summaries to all instances, so strong ones go first.
  const auto order = this->fleet.InstancesByStrength(FleetState::kDutyKey);
  const auto place = std::find_if(
      order.begin(), order.end(),
      [&](const auto* record) { return record->name == this->self.name; });
  const int turn = static_cast<int>(place - order.begin());
  return std::min(turn, kMaxCandidacySteps) * kCandidacyStep;
}

asio::awaitable<void> Registration::TryBecomeLeader() {
  this->CheckLeadership();
  const Instant now = this->clock.Now();
  if (this->fleet.Duty().has_value()) {
    this->leaderless_since.reset();
    // The answer to the taking write was lost, and the store shows it. An
    // entry under an earlier lease is about to vanish: going on from it, this
    // instance would give orders with an old fence beside the next holder.
    if (this->HoldsLeaderEntry() && !this->duty.Held()) {
      this->duty.Acquired(this->fleet.Duty()->revision, this->renewed,
                          this->granted);
    }
    co_return;
  }
  if (this->fleet.Config() == nullptr) co_return;
  if (this->duty.Held()) co_return;
  // The duty stands under this instance's lease, and a long one would keep it
  // from others for as long after this one's end.
  if (this->asked_for != this->lease_times.listed) co_return;
  if (!this->leaderless_since.has_value()) this->leaderless_since = now;
  if (now - *this->leaderless_since < this->CandidacyDelay()) co_return;
  StoreTransaction transaction;
  const std::string key(FleetState::kDutyKey);
  transaction.expected.push_back({key, 0});
  transaction.puts.push_back(
      {key, EncodeInstanceRecord(this->self), this->lease});
  StoreCall call = std::move(transaction);
  const StoreReply reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreNoLease>(reply)) this->HandleLeaseLoss();
  const auto* committed = std::get_if<StoreCommitted>(&reply);
  if (committed == nullptr) co_return;
  this->duty.Acquired(committed->revision, this->renewed, this->granted);
  this->log.Write("duty", "taken", {{"fence", committed->revision}});
}

asio::awaitable<void> Registration::Leave() {
  this->leaving = true;
  const bool held = this->duty.Held();
  this->duty.Lost();
  StoreTransaction transaction;
  transaction.deletes.push_back(FleetState::InstanceKey(this->self.name));
  if (held) {
    // Its own watch may not show the duty yet, right after it was taken.
    const std::string key(FleetState::kDutyKey);
    transaction.expected.push_back({key, this->duty.Fence()});
    transaction.deletes.push_back(key);
  }
  // While the store is away, leases may stand still, and the duty would stay
  // with a process that has ended for as long as its lease runs after that.
  // Nobody would place models meanwhile.
  bool known = false;
  while (!known) {
    StoreCall call = transaction;
    const StoreReply reply =
        co_await this->store.Call(std::move(call), kCallTimeout);
    known = std::holds_alternative<StoreCommitted>(reply);
    if (std::holds_alternative<StoreConflict>(reply)) {
      // Somebody else holds the duty; only the own entry is taken back.
      transaction.expected.clear();
      transaction.deletes.resize(1);
    }
    if (!known) co_await Sleep(this->context, kRetryPause);
  }
  this->log.Write("registration", "left", {{"held_duty", held}});
}

}  // namespace dragonflyglade::gateway
