#include "dragonflyglade/decision/distributed_rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

// How long a peer that did not answer is not asked again.
constexpr absl::Duration kSilence = absl::Seconds(1);
constexpr absl::Duration kSilentPause = absl::Milliseconds(20);
constexpr int kMostAsks = 12;
constexpr absl::Duration kShortestRetryAfter = absl::Milliseconds(100);

double PartOf(std::int64_t share) {
  return static_cast<double>(share) / static_cast<double>(kFullShareMillionths);
}

absl::Duration TimeFor(double tokens, double rate) {
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

DistributedRateLimiter::Book& DistributedRateLimiter::BookOf(
    Shard& shard, std::string_view workspace) const {
  const auto found = shard.books.find(workspace);
  if (found != shard.books.end()) return found->second;
  return shard.books.emplace(std::string(workspace), Book(this->clock.Now()))
      .first->second;
}

void DistributedRateLimiter::Reconfigure(Book& book, Instant now) const {
  if (!book.rate.has_value() || !book.allotment.has_value()) {
    book.bucket.Configure(0, 0, now);
    book.share = 0;
    return;
  }
  const std::int64_t share =
      ShareOf(*book.allotment, this->instance, this->incarnation);
  const double rate = book.rate->tokens_per_second;
  const double part = PartOf(share);
  book.bucket.Configure(part * rate, part * book.rate->burst_tokens, now);
  book.share = share;
}

void DistributedRateLimiter::SetRate(std::string_view workspace,
                                     std::optional<RateLimit> rate) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, workspace);
  book.rate = rate;
  this->Reconfigure(book, this->clock.Now());
}

void DistributedRateLimiter::ApplyAllotment(const Allotment& allotment) {
  Shard& shard = this->ShardOf(allotment.workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, allotment.workspace);
  if (book.allotment.has_value() && book.allotment->epoch >= allotment.epoch) {
    return;
  }
  const Instant now = this->clock.Now();
  const bool shrinks =
      ShareOf(allotment, this->instance, this->incarnation) < book.share;
  const bool owes = book.bucket.Level(now) < 0 || book.bucket.Reserved(now) > 0;
  book.allotment = allotment;
  this->Reconfigure(book, now);
  if (shrinks && owes) {
    book.confirm_from =
        now + this->options.max_reservation_wait + this->options.min_hold;
  }
}

// Failure: a holder shrinks while tokens that it lent or promised are yet to
// be spent; others use the part that it gave up meanwhile, and the borrowers
// spend it as well. The holder goes by the smaller share at once, but confirms
// it only when everything lent before is spent or void; until then the keeper
// counts the larger share as held.
std::int64_t DistributedRateLimiter::ConfirmedEpoch(
    std::string_view workspace) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(workspace);
  if (found == shard.books.end()) return 0;
  Book& book = found->second;
  if (book.allotment.has_value() && this->clock.Now() >= book.confirm_from) {
    book.confirmed_epoch = book.allotment->epoch;
  }
  return book.confirmed_epoch;
}

std::optional<Allotment> DistributedRateLimiter::CurrentAllotment(
    std::string_view workspace) const {
  const Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(workspace);
  if (found == shard.books.end()) return std::nullopt;
  return found->second.allotment;
}

Admission DistributedRateLimiter::Begin(std::string_view workspace, double cost,
                                        absl::Duration max_wait) const {
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
  const auto found = shard.books.find(admission.workspace);
  if (found == shard.books.end()) return NoRate{};
  const Instant now = this->clock.Now();
  found->second.last_demand = now;
  return this->NextInBook(found->second, admission, now);
}

AdmissionStep DistributedRateLimiter::NextInBook(Book& book,
                                                 Admission& admission,
                                                 Instant now) const {
  if (!book.rate.has_value()) return NoRate{};
  const double burst = book.rate->burst_tokens;
  if (admission.cost > burst) return CostAboveBurst{burst};
  if (!book.allotment.has_value()) return NoShareOwnerReachable{};
  DropStale(admission, now);
  double missing = admission.cost;
  for (const CollectedTokens& part : admission.collected)
    missing -= part.tokens;
  if (missing <= 0) return Spend(admission, now);
  return this->GatherMore(book, admission, missing, now);
}

// Failure: a borrower is paused with tokens in hand and spends them on
// waking, when the lender has stopped counting them. Past their use-by time
// they are lost, on the borrower's own clock from its own asking, which is no
// later than the lender's debit.
void DistributedRateLimiter::DropStale(Admission& admission, Instant now) {
  auto& parts = admission.collected;
  parts.erase(std::remove_if(
                  parts.begin(), parts.end(),
                  [now](const CollectedTokens& p) { return p.use_by <= now; }),
              parts.end());
}

AdmissionStep DistributedRateLimiter::Spend(Admission& admission, Instant now) {
  Instant ready = now;
  for (const CollectedTokens& part : admission.collected) {
    ready = std::max(ready, part.spend_from);
  }
  if (ready > now) return WaitFor{ready - now};
  admission.charged = now;
  admission.collected.clear();
  return Admitted{};
}

std::vector<DistributedRateLimiter::Source> DistributedRateLimiter::Sources(
    const Book& book, const Admission& admission, bool with_silent,
    Instant now) const {
  std::vector<Source> sources;
  if (book.share > 0) {
    sources.push_back(Source{"", book.bucket.Level(now), book.bucket.Rate(),
                             book.bucket.Cap()});
  }
  const double burst = book.rate->burst_tokens;
  for (const OwnerShare& holder : book.allotment->holders) {
    if (holder.instance == this->instance || holder.share == 0) continue;
    if (admission.silent.count(holder.instance) > 0) continue;
    const double part = PartOf(holder.share);
    Source source{holder.instance, part * burst,
                  part * book.rate->tokens_per_second, part * burst};
    const auto hint = book.hints.find(holder.instance);
    if (hint != book.hints.end()) {
      if (!with_silent && now < hint->second.silent_until) continue;
      const double seconds = absl::ToDoubleSeconds(now - hint->second.at);
      source.level =
          std::min(source.cap, hint->second.level + source.rate * seconds);
    }
    sources.push_back(source);
  }
  return sources;
}

// Draws on the fewest buckets that give the tokens soon. Of k buckets that
// are left equally far from empty, all are ready after the same wait:
//   wait = (tokens - sum of levels) / sum of rates.
// More buckets mean a shorter wait and more messages; the ask price weighs
// one against the other.
std::optional<DistributedRateLimiter::Draw> DistributedRateLimiter::ChooseDraw(
    std::vector<Source> sources, double tokens, absl::Duration longest) const {
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
  std::optional<Draw> best;
  absl::Duration best_price = absl::InfiniteDuration();
  double level = 0;
  double rate = 0;
  int asked = 0;
  for (std::size_t k = 0; k < sources.size(); ++k) {
    level += sources[k].level;
    rate += sources[k].rate;
    if (!sources[k].peer.empty()) ++asked;
    const double wait = (tokens - level) / rate;
    const absl::Duration delay = absl::Seconds(std::max(0.0, wait));
    const absl::Duration price =
        delay + asked * this->options.peer_request_cost;
    if (delay > longest || price >= best_price) continue;
    Draw draw;
    draw.wait = delay;
    bool possible = true;
    for (std::size_t i = 0; i <= k; ++i) {
      const double part = sources[i].level + sources[i].rate * wait;
      possible = possible && part <= sources[i].cap;
      if (part > 0) draw.parts.emplace_back(sources[i], part);
    }
    if (!possible || draw.parts.empty()) continue;
    best = std::move(draw);
    best_price = price;
  }
  return best;
}

// Failure: on a busy machine two peers answer a little late, are left out for
// a second, and an instance that holds no share itself refuses everybody as
// over the rate. Peers that were silent are asked again before a request is
// given up, for as long as it may wait; and if nobody answers at all, that is
// what the caller is told.
AdmissionStep DistributedRateLimiter::WithoutDraw(Book& book,
                                                  Admission& admission,
                                                  double missing,
                                                  Instant now) const {
  const bool may_wait =
      now + kSilentPause < admission.started + admission.max_wait;
  if (!admission.silent.empty() && may_wait) {
    admission.silent.clear();
    return WaitFor{kSilentPause};
  }
  const std::vector<Source> sources = this->Sources(book, admission, true, now);
  double level = 0;
  for (const Source& source : sources) level += source.level;
  return this->GiveUp(book, admission,
                      TimeFor(missing - level, book.rate->tokens_per_second),
                      now);
}

AdmissionStep DistributedRateLimiter::GatherMore(Book& book,
                                                 Admission& admission,
                                                 double missing,
                                                 Instant now) const {
  const absl::Duration patience = admission.started + admission.max_wait - now;
  const absl::Duration longest =
      std::min(patience, this->options.max_reservation_wait);
  std::optional<Draw> draw = this->ChooseDraw(
      this->Sources(book, admission, false, now), missing, longest);
  if (!draw.has_value()) {
    draw = this->ChooseDraw(this->Sources(book, admission, true, now), missing,
                            longest);
  }
  if (!draw.has_value()) {
    return this->WithoutDraw(book, admission, missing, now);
  }
  // Peers are asked first: what they say may change the plan, and the own
  // bucket then gives the rest.
  for (const auto& [source, tokens] : draw->parts) {
    if (source.peer.empty()) continue;
    // A peer that had less than was thought is asked for less the next time,
    // but not for ever.
    if (++admission.asks > kMostAsks) break;
    admission.asked_at = now;
    const double whole = std::min(std::ceil(tokens), std::floor(source.cap));
    return BorrowFromPeer{source.peer, static_cast<std::int64_t>(whole),
                          longest};
  }
  // What is spent at once needs no reservation.
  if (admission.collected.empty() && book.bucket.Withdraw(missing, now)) {
    admission.charged = now;
    return Admitted{};
  }
  std::optional<Reservation> reserved;
  if (admission.asks <= kMostAsks) {
    reserved =
        book.bucket.Reserve(missing, longest, this->options.min_hold, now);
  }
  if (!reserved.has_value()) {
    return this->GiveUp(book, admission, draw->wait, now);
  }
  admission.collected.push_back(CollectedTokens{
      "", missing, 0, now + reserved->wait, now + reserved->use_by});
  return Spend(admission, now);
}

AdmissionStep DistributedRateLimiter::GiveUp(Book& book, Admission& admission,
                                             absl::Duration missing,
                                             Instant now) const {
  if (book.share == 0 && !admission.answered) return NoShareOwnerReachable{};
  OverRate over;
  over.retry_after = std::max(missing, kShortestRetryAfter);
  for (const CollectedTokens& part : admission.collected) {
    if (part.peer.empty()) {
      book.bucket.Refund(part.tokens, admission.started, now);
    } else {
      over.returns.push_back(LoanReturn{
          part.peer, static_cast<std::int64_t>(part.tokens), part.stamp});
    }
  }
  admission.collected.clear();
  return over;
}

void DistributedRateLimiter::CompleteLoan(Admission& admission,
                                          std::string_view peer,
                                          const std::optional<Loan>& loan) {
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, admission.workspace);
  const Instant now = this->clock.Now();
  Hint& hint = book.hints[std::string(peer)];
  hint.at = now;
  if (!loan.has_value()) {
    admission.silent.insert(std::string(peer));
    // The next requests must not wait for a silent peer too.
    hint.level = 0;
    hint.silent_until = now + kSilence;
    return;
  }
  admission.answered = true;
  hint.level = static_cast<double>(loan->level);
  if (loan->granted == 0) return;
  admission.collected.push_back(CollectedTokens{
      std::string(peer), static_cast<double>(loan->granted), loan->stamp,
      now + loan->wait, admission.asked_at + loan->use_by});
}

void DistributedRateLimiter::Settle(const Admission& admission, double used) {
  if (!admission.charged.has_value()) return;
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, admission.workspace);
  const double unused = std::max(0.0, admission.cost - std::max(0.0, used));
  book.bucket.Refund(unused, *admission.charged, this->clock.Now());
}

Loan DistributedRateLimiter::LendTokens(std::string_view workspace,
                                        std::int64_t tokens,
                                        absl::Duration longest) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(workspace);
  if (found == shard.books.end() || tokens <= 0) return Loan{};
  Book& book = found->second;
  const Instant now = this->clock.Now();
  book.last_demand = now;
  Loan loan;
  const std::optional<Reservation> reserved =
      book.bucket.Reserve(static_cast<double>(tokens),
                          std::min(longest, this->options.max_reservation_wait),
                          this->options.min_hold, now);
  if (reserved.has_value()) {
    loan.granted = tokens;
    loan.wait = reserved->wait;
    loan.use_by = reserved->use_by;
    loan.stamp = absl::ToInt64Nanoseconds(now);
  }
  loan.level = static_cast<std::int64_t>(book.bucket.Level(now));
  loan.cap = static_cast<std::int64_t>(book.bucket.Cap());
  return loan;
}

// A return may come late, or from a process that thinks it is somebody else's
// borrower; the bucket never takes more than it would hold by itself today.
void DistributedRateLimiter::ReceiveReturn(std::string_view workspace,
                                           std::int64_t tokens,
                                           std::int64_t stamp) {
  if (tokens <= 0) return;
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(workspace);
  if (found == shard.books.end()) return;
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
    for (const auto& [workspace, book] : shard.books) {
      if (balances.size() == limit) return balances;
      if (now - book.last_demand > this->options.demand_retention) continue;
      if (book.bucket.Cap() == 0) continue;
      balances.push_back(WorkspaceBalance{
          workspace, static_cast<std::int64_t>(book.bucket.Level(now)),
          static_cast<std::int64_t>(book.bucket.Cap())});
    }
  }
  return balances;
}

std::optional<WorkspaceBalance> DistributedRateLimiter::BalanceOf(
    std::string_view workspace) const {
  const Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(workspace);
  if (found == shard.books.end()) return std::nullopt;
  const TokenBucket& bucket = found->second.bucket;
  return WorkspaceBalance{
      std::string(workspace),
      static_cast<std::int64_t>(bucket.Level(this->clock.Now())),
      static_cast<std::int64_t>(bucket.Cap())};
}

void DistributedRateLimiter::Learn(std::string_view peer,
                                   const WorkspaceBalance& balance) {
  Shard& shard = this->ShardOf(balance.workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(balance.workspace);
  if (found == shard.books.end()) return;
  Hint& hint = found->second.hints[std::string(peer)];
  hint.level = static_cast<double>(balance.level);
  hint.silent_until = -absl::InfiniteDuration();
  hint.at = this->clock.Now();
}

}  // namespace dragonflyglade
