#include "dragonflyglade/gateway/registration.h"

#include <time.h>

#include <algorithm>
#include <utility>

namespace dragonflyglade::gateway {

namespace asio = boost::asio;

namespace {

// The store responds within milliseconds. A failed call is retried well within
// the lease.
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);
// Three renewals may fail before the lease ends.
constexpr int kRenewalsPerLease = 4;
// Covers a listing of the whole store while all processes of the fleet start.
constexpr absl::Duration kListingTimeout = absl::Seconds(3);
constexpr absl::Duration kListingPollInterval = absl::Milliseconds(20);
// Interval at which this instance checks whether there is a leader.
constexpr absl::Duration kLeaderCheckInterval = absl::Milliseconds(250);
// How much later than the one before it each further candidate tries: longer
// than a store call takes, so that normally only the first one writes.
constexpr absl::Duration kCandidacyStep = absl::Milliseconds(100);
constexpr int kMaxCandidacySteps = 10;
// A leader without a path to the targets can neither inspect nor order them. A
// new leader has to wait before it may, so that a short loss is borne.
constexpr absl::Duration kStepDownDelay = absl::Seconds(1);
// Instances with a path try first. Without any, an isolated one still divides
// the quotas.
constexpr absl::Duration kIsolatedCandidacyDelay = absl::Seconds(2);

}  // namespace

ClockReadings ReadClocks() {
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  return {SteadyClock().Now(), absl::DurationFromTimespec(boot)};
}

Registration::Registration(asio::io_context& context, StoreClient& store,
                           FleetState& fleet, LeaderLease& leader_lease,
                           const TargetPaths& paths, InstanceRecord self,
                           LeaseDurations lease_durations, EventLog& log,
                           Clock clock)
    : context(context),
      store(store),
      fleet(fleet),
      leader_lease(leader_lease),
      paths(paths),
      self(std::move(self)),
      lease_durations(lease_durations),
      log(log),
      clock(std::move(clock)) {}

// The listing shows whether callers are sent to this instance. Without it, each
// instance of a large fleet would request a short lease first and a long one
// immediately after that.
asio::awaitable<void> Registration::WaitForListing() {
  const Instant started_at = this->clock.Now();
  while (!this->fleet.HasListing() && !this->leaving &&
         this->clock.Now() - started_at < kListingTimeout) {
    co_await Sleep(this->context, kListingPollInterval);
  }
}

asio::awaitable<void> Registration::Run() {
  co_await this->WaitForListing();
  Instant next_renewal = this->clock.Now();
  while (!this->leaving) {
    const Instant now = this->clock.Now();
    if (this->HasLostEntry()) this->is_registered = false;
    if (this->lease == 0 || this->NeedsDifferentTtl()) {
      co_await this->RequestLease();
      next_renewal = now + this->granted_ttl / kRenewalsPerLease;
    } else if (!this->is_registered) {
      co_await this->WriteEntry();
    } else if (now >= next_renewal) {
      next_renewal = now + this->granted_ttl / kRenewalsPerLease;
      co_await this->Renew();
    }
    if (this->is_registered && !this->leaving) {
      if (this->ShouldStepDown()) this->StepDown();
      co_await this->RemoveAbandonedEntry();
      co_await this->TryBecomeLeader();
    }
    co_await Sleep(this->context,
                   this->is_registered ? kLeaderCheckInterval : kRetryPause);
  }
}

asio::awaitable<void> Registration::RequestLease() {
  const ClockReadings sent = ReadClocks();
  const absl::Duration wanted = this->WantedTtl();
  StoreCall call = StoreLeaseGrant{wanted};
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  const auto* lease = std::get_if<StoreLease>(&response);
  if (lease == nullptr || this->leaving) co_return;
  this->superseded_lease = this->lease;
  this->lease = lease->lease;
  this->granted_ttl = lease->ttl;
  this->requested_ttl = wanted;
  this->renewed_at = sent;
  // Attaches the entry to the new lease, so that the end of the previous lease
  // does not remove it.
  co_await this->WriteEntry();
}

asio::awaitable<void> Registration::WriteEntry() {
  StoreTransaction transaction;
  transaction.puts.push_back({FleetState::InstanceKey(this->self.name),
                              EncodeInstanceRecord(this->self), this->lease});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreLeaseNotFound>(response))
    this->HandleLeaseLoss();
  const auto* committed = std::get_if<StoreCommitted>(&response);
  this->is_registered = committed != nullptr;
  if (committed == nullptr) co_return;
  this->entry_revision = committed->revision;
  this->superseded_lease = 0;
  this->log.Write("registration", "entered", {{"lease", this->lease}});
}

// A call of an earlier process with the same name may be carried out late.
bool Registration::HasLostEntry() const {
  if (!this->is_registered) return false;
  const std::string key = FleetState::InstanceKey(this->self.name);
  return this->fleet.AppliedRevision(key) > this->entry_revision &&
         this->fleet.Instances().count(this->self.name) == 0;
}

asio::awaitable<void> Registration::Renew() {
  const ClockReadings sent = ReadClocks();
  StoreCall call = StoreLeaseRenewal{this->lease};
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreLeaseNotFound>(response)) {
    this->HandleLeaseLoss();
    co_return;
  }
  const auto* lease = std::get_if<StoreLease>(&response);
  if (lease == nullptr) co_return;
  this->granted_ttl = lease->ttl;
  this->renewed_at = sent;
  if (this->leader_lease.IsLeader())
    this->leader_lease.OnLeaseRenewed(sent, lease->ttl);
}

void Registration::HandleLeaseLoss() {
  this->log.Write(
      "registration", "lease ended",
      {{"lease", this->lease}, {"held_duty", this->leader_lease.IsLeader()}});
  this->lease = 0;
  this->is_registered = false;
  if (this->abandoned.has_value()) this->abandoned->is_removed = true;
  this->leader_lease.OnLeaseLost();
}

bool Registration::HoldsLeaderEntry() const {
  const auto& leader = this->fleet.Leader();
  return leader.has_value() && leader->lease == this->lease &&
         leader->instance.incarnation == this->self.incarnation;
}

// The store's state takes precedence over this instance's own view of its
// lease: a later change of the leader's entry means that another instance may
// be leader.
void Registration::CheckLeadership() {
  if (!this->leader_lease.IsLeader() || this->HoldsLeaderEntry()) return;
  if (this->fleet.LeaderRevision() <= this->leader_lease.FencingToken()) return;
  this->log.Write("duty", "leadership lost",
                  {{"fence", this->leader_lease.FencingToken()},
                   {"revision", this->fleet.LeaderRevision()}});
  this->leader_lease.OnLeaseLost();
}

absl::Duration Registration::WantedTtl() const {
  return this->fleet.IsListed(this->self.name) ? this->lease_durations.listed
                                               : this->lease_durations.unlisted;
}

// The lease of the leader's entry must not change while this instance is
// leader: orders carry the fencing token that belongs to it.
bool Registration::NeedsDifferentTtl() const {
  if (!this->is_registered || this->HoldsLeaderEntry()) return false;
  if (this->fleet.Instances().count(this->self.name) == 0) return false;
  return this->WantedTtl() != this->requested_ttl;
}

absl::Duration Registration::CandidacyDelay() const {
  // The leader sends summaries to all instances, so the candidates of highest
  // capacity go first.
  const auto order = this->fleet.InstancesByStrength(FleetState::kLeaderKey);
  const auto position = std::find_if(
      order.begin(), order.end(),
      [&](const auto* record) { return record->name == this->self.name; });
  const int steps = static_cast<int>(position - order.begin());
  const absl::Duration isolated = this->paths.IsolatedLately()
                                      ? kIsolatedCandidacyDelay
                                      : absl::ZeroDuration();
  return isolated + std::min(steps, kMaxCandidacySteps) * kCandidacyStep;
}

// Once in an isolation: if this instance became leader again, no other could.
bool Registration::ShouldStepDown() const {
  if (!this->leader_lease.IsLeader() || !this->HoldsLeaderEntry()) return false;
  const std::optional<Instant> since = this->paths.IsolatedSince();
  if (!since.has_value() || this->stepped_down_in == since) return false;
  return this->fleet.Instances().size() > 1 &&
         this->clock.Now() - *since >= kStepDownDelay;
}

void Registration::StepDown() {
  this->stepped_down_in = this->paths.IsolatedSince();
  this->abandoned = AbandonedEntry{this->fleet.Leader()->revision};
  this->leader_lease.OnLeaseLost();
  this->log.Write(
      "duty", "given up",
      {{"why", "no path to targets"}, {"revision", this->abandoned->revision}});
}

// Failure: the store refuses the call or loses its answer, and the entry of a
// leader that no longer leads stays under the lease that its process renews. No
// other instance can lead until the process ends. The call is repeated until
// the entry is known to be gone. One that is carried out late does no harm: the
// next leader's entry has another revision.
asio::awaitable<void> Registration::RemoveAbandonedEntry() {
  if (!this->abandoned.has_value() || this->abandoned->is_removed) co_return;
  const std::uint64_t revision = this->abandoned->revision;
  StoreTransaction transaction;
  const std::string key(FleetState::kLeaderKey);
  transaction.preconditions.push_back({key, revision});
  transaction.deletes.push_back(key);
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  const bool removed = std::holds_alternative<StoreCommitted>(response) ||
                       std::holds_alternative<StoreConflict>(response);
  this->abandoned->is_removed = removed;
  this->log.Write("duty", removed ? "entry removed" : "entry not removed",
                  {{"revision", revision}});
}

asio::awaitable<void> Registration::TryBecomeLeader() {
  this->CheckLeadership();
  const Instant now = this->clock.Now();
  if (this->fleet.Leader().has_value()) {
    this->leaderless_since.reset();
    // The response to the write was lost, but the store shows that it
    // succeeded. An entry under an earlier lease of this instance does not
    // count, since it is about to expire: this instance would give orders with
    // an old fencing token while the next leader gives orders, too.
    const std::uint64_t revision = this->fleet.Leader()->revision;
    const bool is_abandoned =
        this->abandoned.has_value() && this->abandoned->revision == revision;
    if (this->HoldsLeaderEntry() && !this->leader_lease.IsLeader() &&
        !is_abandoned) {
      this->leader_lease.OnLeaseAcquired(revision, this->renewed_at,
                                         this->granted_ttl);
    }
    co_return;
  }
  if (this->fleet.Config() == nullptr) co_return;
  if (this->leader_lease.IsLeader()) co_return;
  // The leader's entry is attached to this instance's lease. Under a long
  // lease, it would keep others from becoming leader for that long after this
  // process ended.
  if (this->requested_ttl != this->lease_durations.listed) co_return;
  if (!this->leaderless_since.has_value()) this->leaderless_since = now;
  if (now - *this->leaderless_since < this->CandidacyDelay()) co_return;
  StoreTransaction transaction;
  const std::string key(FleetState::kLeaderKey);
  transaction.preconditions.push_back({key, 0});
  transaction.puts.push_back(
      {key, EncodeInstanceRecord(this->self), this->lease});
  StoreCall call = std::move(transaction);
  const StoreResponse response =
      co_await this->store.Call(std::move(call), kCallTimeout);
  if (std::holds_alternative<StoreLeaseNotFound>(response))
    this->HandleLeaseLoss();
  const auto* committed = std::get_if<StoreCommitted>(&response);
  if (committed == nullptr) co_return;
  this->leader_lease.OnLeaseAcquired(committed->revision, this->renewed_at,
                                     this->granted_ttl);
  this->log.Write("duty", "taken", {{"fence", committed->revision}});
}

// Failure: the call that removes the entries gets no answer and is carried out
// late, when the next process has entered itself under the same name. The end
// of this process's lease removes this process's entries only, also an entry
// whose write is still under way.
asio::awaitable<void> Registration::Leave() {
  this->leaving = true;
  const bool held = this->leader_lease.IsLeader();
  this->leader_lease.OnLeaseLost();
  co_await this->EndLease(this->lease);
  co_await this->EndLease(this->superseded_lease);
  this->log.Write("registration", "left", {{"held_duty", held}});
}

// Retries until the outcome is known. If leases do not expire while the store
// is unavailable, the leader's entry would stay with a terminated process until
// its lease runs out afterwards, and no instance would place models in the
// meantime.
asio::awaitable<void> Registration::EndLease(std::uint64_t ended) {
  if (ended == 0) co_return;
  while (true) {
    StoreCall call = StoreLeaseRevoke{ended};
    const StoreResponse response =
        co_await this->store.Call(std::move(call), kCallTimeout);
    if (std::holds_alternative<StoreLease>(response) ||
        std::holds_alternative<StoreLeaseNotFound>(response)) {
      co_return;
    }
    co_await Sleep(this->context, kRetryPause);
  }
}

}  // namespace dragonflyglade::gateway
