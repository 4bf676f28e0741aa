#include "dragonflyglade/decision/distributed_rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// How long a peer that did not respond is not asked for loans.
constexpr absl::Duration kPeerSkipTime = absl::Seconds(1);
// Wait before unresponsive peers are asked again for the same request.
constexpr absl::Duration kPeerRetryPause = absl::Milliseconds(20);
constexpr int kMaxLoanRequests = 12;
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);

double FractionOf(std::int64_t share) {
  return static_cast<double>(share) / static_cast<double>(kFullShareMillionths);
}

absl::Duration TimeToAccrue(double tokens, double rate) {
  if (rate <= 0) return absl::InfiniteDuration();
  return absl::Seconds(std::max(tokens, 0.0) / rate);
}

}  // namespace

DistributedRateLimiter::DistributedRateLimiter(std::string_view instance,
                                               std::int64_t incarnation,
                                               RateLimiterOptions options,
                                               Clock clock)
    : instance(instance),
      incarnation(incarnation),
      options(options),
      clock(clock) {}

DistributedRateLimiter::Shard& DistributedRateLimiter::ShardOf(
    std::string_view workspace) {
  return this->shards[StableHash(workspace) % kShards];
}

const DistributedRateLimiter::Shard& DistributedRateLimiter::ShardOf(
    std::string_view workspace) const {
  return this->shards[StableHash(workspace) % kShards];
}

DistributedRateLimiter::WorkspaceState& DistributedRateLimiter::StateOf(
    Shard& shard, std::string_view workspace) const {
  const auto found = shard.workspaces.find(workspace);
  if (found != shard.workspaces.end()) return found->second;
  return shard.workspaces
      .emplace(std::string(workspace), WorkspaceState(this->clock.Now()))
      .first->second;
}

void DistributedRateLimiter::ConfigureBucket(WorkspaceState& state,
                                             Instant now) const {
  if (!state.rate.has_value() || !state.allotment.has_value()) {
    state.bucket.Configure(0, 0, now);
    state.share = 0;
    return;
  }
  const std::int64_t share =
      ShareOf(*state.allotment, this->instance, this->incarnation);
  const double rate = state.rate->tokens_per_second;
  const double fraction = FractionOf(share);
  state.bucket.Configure(fraction * rate, fraction * state.rate->burst_tokens,
                         now);
  state.share = share;
}

void DistributedRateLimiter::SetRate(std::string_view workspace,
                                     std::optional<RateLimit> rate) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  WorkspaceState& state = this->StateOf(shard, workspace);
  state.rate = rate;
  this->ConfigureBucket(state, this->clock.Now());
}

void DistributedRateLimiter::ApplyAllotment(const Allotment& allotment) {
  Shard& shard = this->ShardOf(allotment.workspace);
  absl::MutexLock lock(&shard.mutex);
  WorkspaceState& state = this->StateOf(shard, allotment.workspace);
  if (state.allotment.has_value() &&
      state.allotment->epoch >= allotment.epoch) {
    return;
  }
  const Instant now = this->clock.Now();
  const bool shrinks =
      ShareOf(allotment, this->instance, this->incarnation) < state.share;
  const bool has_reservations =
      state.bucket.Level(now) < 0 || state.bucket.Reserved(now) > 0;
  state.allotment = allotment;
  this->ConfigureBucket(state, now);
  if (shrinks && has_reservations) {
    state.confirm_from =
        now + this->options.max_reservation_wait + this->options.min_hold;
  }
}

// Failure: an instance's share shrinks while tokens that it lent or reserved
// are still to be spent. If other instances get the difference at once, both
// they and the borrowers spend it. So the instance uses the smaller share at
// once, but confirms the epoch only after all earlier loans have been spent or
// have expired; until then the allotment counts the larger share as in use.
std::int64_t DistributedRateLimiter::ConfirmedEpoch(
    std::string_view workspace) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.workspaces.find(workspace);
  if (found == shard.workspaces.end()) return 0;
  WorkspaceState& state = found->second;
  if (state.allotment.has_value() && this->clock.Now() >= state.confirm_from) {
    state.confirmed_epoch = state.allotment->epoch;
  }
  return state.confirmed_epoch;
}

std::optional<Allotment> DistributedRateLimiter::CurrentAllotment(
    std::string_view workspace) const {
  const Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.workspaces.find(workspace);
  if (found == shard.workspaces.end()) return std::nullopt;
  return found->second.allotment;
}

Admission DistributedRateLimiter::BeginAdmission(
    std::string_view workspace, double cost, absl::Duration max_wait) const {
  Admission admission;
  admission.workspace = std::string(workspace);
  admission.cost = cost;
  admission.started = this->clock.Now();
  admission.max_wait = max_wait;
  return admission;
}

AdmissionStep DistributedRateLimiter::Next(Admission& admission) {
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.workspaces.find(admission.workspace);
  if (found == shard.workspaces.end()) return NoRate{};
  const Instant now = this->clock.Now();
  found->second.last_demand = now;
  return this->NextStep(found->second, admission, now);
}

AdmissionStep DistributedRateLimiter::NextStep(WorkspaceState& state,
                                               Admission& admission,
                                               Instant now) const {
  if (!state.rate.has_value()) return NoRate{};
  const double burst = state.rate->burst_tokens;
  if (admission.cost > burst) return CostAboveBurst{burst};
  if (!state.allotment.has_value()) return NoShareOwnerReachable{};
  DropExpired(admission, now);
  double missing = admission.cost;
  for (const CollectedTokens& taken : admission.collected)
    missing -= taken.tokens;
  if (missing <= 0) return WaitOrAdmit(admission, now);
  return this->CollectTokens(state, admission, missing, now);
}

// Failure: a borrower's process is paused and spends borrowed tokens after it
// resumes, when the lender no longer counts them. So tokens are dropped after
// their use-by time. The borrower measures it on its own clock from its request
// for the loan, which is no later than the lender's debit.
void DistributedRateLimiter::DropExpired(Admission& admission, Instant now) {
  auto& collected = admission.collected;
  collected.erase(std::remove_if(collected.begin(), collected.end(),
                                 [now](const CollectedTokens& p) {
                                   return p.use_by <= now;
                                 }),
                  collected.end());
}

AdmissionStep DistributedRateLimiter::WaitOrAdmit(Admission& admission,
                                                  Instant now) {
  Instant ready = now;
  for (const CollectedTokens& taken : admission.collected) {
    ready = std::max(ready, taken.spend_from);
  }
  if (ready > now) return WaitFor{ready - now};
  admission.charged = now;
  admission.collected.clear();
  return Admitted{};
}

std::vector<DistributedRateLimiter::Source> DistributedRateLimiter::Sources(
    const WorkspaceState& state, const Admission& admission, bool with_skipped,
    Instant now) const {
  std::vector<Source> sources;
  if (state.share > 0) {
    sources.push_back(Source{"", state.bucket.Level(now), state.bucket.Rate(),
                             state.bucket.Cap()});
  }
  const double burst = state.rate->burst_tokens;
  for (const OwnerShare& owner : state.allotment->owners) {
    if (owner.instance == this->instance || owner.share == 0) continue;
    if (admission.unresponsive.count(owner.instance) > 0) continue;
    if (admission.without_share.count(owner.instance) > 0) continue;
    const double fraction = FractionOf(owner.share);
    Source source{owner.instance, fraction * burst,
                  fraction * state.rate->tokens_per_second, fraction * burst};
    const auto peer_bucket = state.peers.find(owner.instance);
    if (peer_bucket != state.peers.end()) {
      if (!with_skipped && now < peer_bucket->second.skipped_until) continue;
      const double seconds =
          absl::ToDoubleSeconds(now - peer_bucket->second.updated);
      source.level = std::min(
          source.cap, peer_bucket->second.level + source.rate * seconds);
    }
    sources.push_back(source);
  }
  return sources;
}

// Takes the tokens from the fewest buckets that can give them soon. Each of k
// buckets gives its level plus what it accrues during the wait, which is the
// same for all of them:
//   wait = (tokens - sum of levels) / sum of rates.
// A negative wait leaves all of them equally long to empty. More buckets mean a
// shorter wait but more messages; peer_request_cost weighs one against the
// other.
std::optional<DistributedRateLimiter::Plan> DistributedRateLimiter::ChoosePlan(
    std::vector<Source> sources, double tokens, absl::Duration max_wait) const {
  const auto time_to_empty = [this, tokens](const Source& source) {
    const bool is_own = source.peer.empty();
    const double left = source.level - tokens;
    const bool has_plenty = left >= this->options.local_only_level * source.cap;
    if (is_own && has_plenty) return absl::InfiniteDuration();
    return absl::Seconds(source.level / source.rate);
  };
  std::sort(sources.begin(), sources.end(),
            [&](const Source& a, const Source& b) {
              return time_to_empty(a) > time_to_empty(b);
            });
  std::optional<Plan> best;
  absl::Duration best_cost = absl::InfiniteDuration();
  double level = 0;
  double rate = 0;
  int peers_asked = 0;
  for (std::size_t k = 0; k < sources.size(); ++k) {
    level += sources[k].level;
    rate += sources[k].rate;
    if (!sources[k].peer.empty()) ++peers_asked;
    const double wait = (tokens - level) / rate;
    const absl::Duration delay = absl::Seconds(std::max(0.0, wait));
    const absl::Duration cost =
        delay + peers_asked * this->options.peer_request_cost;
    if (delay > max_wait || cost >= best_cost) continue;
    Plan plan;
    plan.wait = delay;
    bool within_caps = true;
    for (std::size_t i = 0; i <= k; ++i) {
      const double amount = sources[i].level + sources[i].rate * wait;
      within_caps = within_caps && amount <= sources[i].cap;
      if (amount > 0) plan.amounts.emplace_back(sources[i], amount);
    }
    if (!within_caps || plan.amounts.empty()) continue;
    best = std::move(plan);
    best_cost = cost;
  }
  return best;
}

// Failure: on a busy machine two peers respond a little late and are skipped
// for kPeerSkipTime. Meanwhile an instance that owns no share refuses all
// requests as over the rate. So unresponsive peers are asked again before a
// request is refused, for as long as it may wait; and if no peer responds, the
// caller is told this reason instead.
AdmissionStep DistributedRateLimiter::RetryOrRefuse(WorkspaceState& state,
                                                    Admission& admission,
                                                    double missing,
                                                    Instant now) const {
  const bool may_wait =
      now + kPeerRetryPause < admission.started + admission.max_wait;
  const bool may_change =
      !admission.unresponsive.empty() || !admission.without_share.empty();
  if (may_change && may_wait) {
    admission.unresponsive.clear();
    admission.without_share.clear();
    return WaitFor{kPeerRetryPause};
  }
  const std::vector<Source> sources =
      this->Sources(state, admission, true, now);
  double level = 0;
  for (const Source& source : sources) level += source.level;
  return this->Refuse(
      state, admission,
      TimeToAccrue(missing - level, state.rate->tokens_per_second), now);
}

AdmissionStep DistributedRateLimiter::CollectTokens(WorkspaceState& state,
                                                    Admission& admission,
                                                    double missing,
                                                    Instant now) const {
  const absl::Duration remaining_wait =
      admission.started + admission.max_wait - now;
  const absl::Duration max_wait =
      std::min(remaining_wait, this->options.max_reservation_wait);
  std::optional<Plan> plan = this->ChoosePlan(
      this->Sources(state, admission, false, now), missing, max_wait);
  if (!plan.has_value()) {
    plan = this->ChoosePlan(this->Sources(state, admission, true, now), missing,
                            max_wait);
  }
  if (!plan.has_value()) {
    return this->RetryOrRefuse(state, admission, missing, now);
  }
  // Peers are asked first, since their responses may change the plan. This
  // instance's bucket then gives the rest.
  for (const auto& [source, tokens] : plan->amounts) {
    if (source.peer.empty()) continue;
    // A peer that has fewer tokens than expected is asked for fewer the next
    // time; the number of requests is bounded.
    if (++admission.loan_requests > kMaxLoanRequests) break;
    admission.loan_requested_at = now;
    const double rounded = std::min(std::ceil(tokens), std::floor(source.cap));
    admission.loan_tokens = static_cast<std::int64_t>(rounded);
    return BorrowFromPeer{source.peer, admission.loan_tokens, max_wait};
  }
  // Tokens that are spent at once need no reservation.
  if (admission.collected.empty() && state.bucket.Withdraw(missing, now)) {
    admission.charged = now;
    return Admitted{};
  }
  std::optional<Reservation> reserved;
  if (admission.loan_requests <= kMaxLoanRequests) {
    reserved =
        state.bucket.Reserve(missing, max_wait, this->options.min_hold, now);
  }
  if (!reserved.has_value()) {
    return this->Refuse(state, admission, plan->wait, now);
  }
  admission.collected.push_back(CollectedTokens{
      "", missing, 0, now + reserved->wait, now + reserved->use_by});
  return WaitOrAdmit(admission, now);
}

AdmissionStep DistributedRateLimiter::Refuse(WorkspaceState& state,
                                             Admission& admission,
                                             absl::Duration retry_after,
                                             Instant now) const {
  if (state.share == 0 && !admission.any_responded)
    return NoShareOwnerReachable{};
  OverRate refusal;
  refusal.retry_after = std::max(retry_after, kMinRetryAfter);
  for (const CollectedTokens& taken : admission.collected) {
    if (taken.peer.empty()) {
      state.bucket.Refund(taken.tokens, admission.started, now);
    } else {
      refusal.returns.push_back(LoanReturn{
          taken.peer, static_cast<std::int64_t>(taken.tokens), taken.stamp});
    }
  }
  admission.collected.clear();
  return refusal;
}

void DistributedRateLimiter::CompleteLoan(Admission& admission,
                                          std::string_view peer,
                                          const std::optional<Loan>& loan) {
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  WorkspaceState& state = this->StateOf(shard, admission.workspace);
  const Instant now = this->clock.Now();
  PeerBucket& peer_bucket = state.peers[std::string(peer)];
  peer_bucket.updated = now;
  if (!loan.has_value()) {
    admission.unresponsive.insert(std::string(peer));
    // The next requests must not wait for this peer, too.
    peer_bucket.level = 0;
    peer_bucket.skipped_until = now + kPeerSkipTime;
    return;
  }
  peer_bucket.level = static_cast<double>(loan->level);
  // The peer's share in force is too small for what was asked, since it has
  // given it up or was restarted. It would decline again at once, so others are
  // asked first.
  if (loan->granted == 0 && loan->cap < admission.loan_tokens) {
    admission.without_share.insert(std::string(peer));
    return;
  }
  admission.any_responded = true;
  if (loan->granted == 0) return;
  admission.collected.push_back(CollectedTokens{
      std::string(peer), static_cast<double>(loan->granted), loan->stamp,
      now + loan->wait, admission.loan_requested_at + loan->use_by});
}

void DistributedRateLimiter::RefundUnused(const Admission& admission,
                                          double used) {
  if (!admission.charged.has_value()) return;
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  WorkspaceState& state = this->StateOf(shard, admission.workspace);
  const double refundable = std::max(0.0, admission.cost - std::max(0.0, used));
  state.bucket.Refund(refundable, *admission.charged, this->clock.Now());
}

Loan DistributedRateLimiter::LendTokens(std::string_view workspace,
                                        std::int64_t tokens,
                                        absl::Duration max_wait) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.workspaces.find(workspace);
  if (found == shard.workspaces.end() || tokens <= 0) return Loan{};
  WorkspaceState& state = found->second;
  const Instant now = this->clock.Now();
  state.last_demand = now;
  Loan loan;
  const std::optional<Reservation> reserved = state.bucket.Reserve(
      static_cast<double>(tokens),
      std::min(max_wait, this->options.max_reservation_wait),
      this->options.min_hold, now);
  if (reserved.has_value()) {
    loan.granted = tokens;
    loan.wait = reserved->wait;
    loan.use_by = reserved->use_by;
    loan.stamp = absl::ToInt64Nanoseconds(now);
  }
  loan.level = static_cast<std::int64_t>(state.bucket.Level(now));
  loan.cap = static_cast<std::int64_t>(state.bucket.Cap());
  return loan;
}

// A return may be late, or may come from a process that borrowed from another
// lender. The refund never adds more tokens than the bucket would hold now
// without the loan.
void DistributedRateLimiter::ReceiveReturn(std::string_view workspace,
                                           std::int64_t tokens,
                                           std::int64_t stamp) {
  if (tokens <= 0) return;
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.workspaces.find(workspace);
  if (found == shard.workspaces.end()) return;
  const Instant now = this->clock.Now();
  const Instant lent_at = absl::Nanoseconds(stamp);
  if (lent_at > now) return;
  found->second.bucket.Refund(static_cast<double>(tokens), lent_at, now);
}

std::vector<WorkspaceBalance> DistributedRateLimiter::Balances(
    std::size_t limit) const {
  std::vector<WorkspaceBalance> balances;
  const Instant now = this->clock.Now();
  for (const Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [workspace, state] : shard.workspaces) {
      if (balances.size() == limit) return balances;
      if (now - state.last_demand > this->options.demand_retention) continue;
      if (state.bucket.Cap() == 0) continue;
      balances.push_back(WorkspaceBalance{
          workspace, static_cast<std::int64_t>(state.bucket.Level(now)),
          static_cast<std::int64_t>(state.bucket.Cap())});
    }
  }
  return balances;
}

std::optional<WorkspaceBalance> DistributedRateLimiter::BalanceOf(
    std::string_view workspace) const {
  const Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.workspaces.find(workspace);
  if (found == shard.workspaces.end()) return std::nullopt;
  const TokenBucket& bucket = found->second.bucket;
  return WorkspaceBalance{
      std::string(workspace),
      static_cast<std::int64_t>(bucket.Level(this->clock.Now())),
      static_cast<std::int64_t>(bucket.Cap())};
}

void DistributedRateLimiter::ReceiveBalance(std::string_view peer,
                                            const WorkspaceBalance& balance) {
  Shard& shard = this->ShardOf(balance.workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.workspaces.find(balance.workspace);
  if (found == shard.workspaces.end()) return;
  PeerBucket& peer_bucket = found->second.peers[std::string(peer)];
  peer_bucket.level = static_cast<double>(balance.level);
  peer_bucket.skipped_until = -absl::InfiniteDuration();
  peer_bucket.updated = this->clock.Now();
}

}  // namespace dragonflyglade
