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
constexpr int kRenewalsInLease = 4;
// Of the whole store, by a fleet whose processes all start at once.
constexpr absl::Duration kListingTakes = absl::Seconds(3);
constexpr absl::Duration kListingLook = absl::Milliseconds(20);
// Between looks at whether the duty is vacant.
constexpr absl::Duration kDutyLook = absl::Milliseconds(250);
// How much later each further candidate tries: one store call more than the
// first one needs, so that normally only one writes.
constexpr absl::Duration kTurn = absl::Milliseconds(100);
constexpr int kMostTurns = 10;

}  // namespace

ClockReadings ReadClocks() {
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  return {SteadyClock().Now(), absl::DurationFromTimespec(boot)};
}

Registration::Registration(asio::io_context& context, StoreClient& store,
                           FleetState& fleet, LeaderLease& duty,
                           InstanceRecord self, LeaseDurations lease_durations,
                           EventLog& log, Clock clock)
    : context(context),
      store(store),
      fleet(fleet),
      duty(duty),
      self(std::move(self)),
      lease_durations(lease_durations),
      log(log),
      clock(std::move(clock)) {}

// Whether callers are sent here shows in the listing. Without it, each instance
// of a large fleet would ask for a short lease, and for a long one at once.
asio::awaitable<void> Registration::WaitForListing() {
  const Instant begun = this->clock.Now();
  while (!this->fleet.WasListed() && !this->leaving &&
         this->clock.Now() - begun < kListingTakes) {
    co_await Sleep(this->context, kListingLook);
  }
}

asio::awaitable<void> Registration::Run() {
  co_await this->WaitForListing();
  Instant next_renewal = this->clock.Now();
  while (!this->leaving) {
    const Instant now = this->clock.Now();
    if (this->lease == 0 || this->WantsAnotherLease()) {
      co_await this->Grant();
      next_renewal = now + this->granted / kRenewalsInLease;
    } else if (!this->entered) {
      co_await this->Enter();
    } else if (now >= next_renewal) {
      next_renewal = now + this->granted / kRenewalsInLease;
      co_await this->Renew();
    }
    if (this->entered && !this->leaving) co_await this->TakeDuty();
    co_await Sleep(this->context, this->entered ? kDutyLook : kRetryPause);
  }
}

asio::awaitable<void> Registration::Grant() {
  const ClockReadings sent = ReadClocks();
  const absl::Duration wanted = this->WantedLease();
  StoreCall call = StoreLeaseGrant{wanted};
  const StoreResponse reply =
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
  const StoreResponse reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreLeaseNotFound>(reply)) this->LeaseEnded();
  this->entered = std::holds_alternative<StoreCommitted>(reply);
  if (this->entered) {
    this->log.Write("registration", "entered", {{"lease", this->lease}});
  }
}

asio::awaitable<void> Registration::Renew() {
  const ClockReadings sent = ReadClocks();
  StoreCall call = StoreLeaseRenewal{this->lease};
  const StoreResponse reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreLeaseNotFound>(reply)) {
    this->LeaseEnded();
    co_return;
  }
  const auto* lease = std::get_if<StoreLease>(&reply);
  if (lease == nullptr) co_return;
  this->granted = lease->ttl;
  this->renewed = sent;
  if (this->duty.Held()) this->duty.OnLeaseRenewed(sent, lease->ttl);
}

void Registration::LeaseEnded() {
  this->log.Write("registration", "lease ended",
                  {{"lease", this->lease}, {"held_duty", this->duty.Held()}});
  this->lease = 0;
  this->entered = false;
  this->duty.Lost();
}

bool Registration::DutyIsMine() const {
  const auto& holder = this->fleet.Leader();
  return holder.has_value() && holder->lease == this->lease &&
         holder->instance.incarnation == this->self.incarnation;
}

// What the store shows goes before what this instance knows of its lease: a
// later change of the duty means that somebody else may hold it.
void Registration::CheckDuty() {
  if (!this->duty.Held() || this->DutyIsMine()) return;
  if (this->fleet.LeaderRevision() <= this->duty.Fence()) return;
  this->log.Write("duty", "lost to another",
                  {{"fence", this->duty.Fence()},
                   {"revision", this->fleet.LeaderRevision()}});
  this->duty.Lost();
}

absl::Duration Registration::WantedLease() const {
  return this->fleet.IsListed(this->self.name) ? this->lease_durations.listed
                                               : this->lease_durations.unlisted;
}

// The lease that the duty stands under must not change: orders carry it.
bool Registration::WantsAnotherLease() const {
  if (!this->entered || this->DutyIsMine()) return false;
  if (this->fleet.Instances().count(this->self.name) == 0) return false;
  return this->WantedLease() != this->asked_for;
}

absl::Duration Registration::TurnToTake() const {
  // The holder sends summaries to all instances, so strong ones go first.
  const auto order = this->fleet.InstancesByStrength(FleetState::kLeaderKey);
  const auto place = std::find_if(
      order.begin(), order.end(),
      [&](const auto* record) { return record->name == this->self.name; });
  const int turn = static_cast<int>(place - order.begin());
  return std::min(turn, kMostTurns) * kTurn;
}

asio::awaitable<void> Registration::TakeDuty() {
  this->CheckDuty();
  const Instant now = this->clock.Now();
  if (this->fleet.Leader().has_value()) {
    this->vacant_since.reset();
    // The answer to the taking write was lost, and the store shows it. An
    // entry under an earlier lease is about to vanish: going on from it, this
    // instance would give orders with an old fence beside the next holder.
    if (this->DutyIsMine() && !this->duty.Held()) {
      this->duty.OnLeaseAcquired(this->fleet.Leader()->revision, this->renewed,
                                 this->granted);
    }
    co_return;
  }
  if (this->fleet.Config() == nullptr) co_return;
  if (this->duty.Held()) co_return;
  // The duty stands under this instance's lease, and a long one would keep it
  // from others for as long after this one's end.
  if (this->asked_for != this->lease_durations.listed) co_return;
  if (!this->vacant_since.has_value()) this->vacant_since = now;
  if (now - *this->vacant_since < this->TurnToTake()) co_return;
  StoreTransaction transaction;
  const std::string key(FleetState::kLeaderKey);
  transaction.expected.push_back({key, 0});
  transaction.puts.push_back(
      {key, EncodeInstanceRecord(this->self), this->lease});
  StoreCall call = std::move(transaction);
  const StoreResponse reply =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreLeaseNotFound>(reply)) this->LeaseEnded();
  const auto* committed = std::get_if<StoreCommitted>(&reply);
  if (committed == nullptr) co_return;
  this->duty.OnLeaseAcquired(committed->revision, this->renewed, this->granted);
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
    const std::string key(FleetState::kLeaderKey);
    transaction.expected.push_back({key, this->duty.Fence()});
    transaction.deletes.push_back(key);
  }
  // While the store is away, leases may stand still, and the duty would stay
  // with a process that has ended for as long as its lease runs after that.
  // Nobody would place models meanwhile.
  bool known = false;
  while (!known) {
    StoreCall call = transaction;
    const StoreResponse reply =
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
