#include "dragonflyglade/decision/share_book.h"

#include <algorithm>
#include <cmath>

#include "dragonflyglade/decision/rendezvous.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kShortestWait = absl::Milliseconds(2);
constexpr absl::Duration kLongestWait = absl::Milliseconds(25);
constexpr absl::Duration kShortestRetryAfter = absl::Milliseconds(100);

double PartOf(std::int64_t share) {
  return static_cast<double>(share) / static_cast<double>(kWholeShare);
}

absl::Duration TimeFor(double tokens, double rate) {
  if (rate <= 0) return absl::InfiniteDuration();
  return absl::Seconds(std::max(tokens, 0.0) / rate);
}

}  // namespace

ShareBook::ShareBook(std::string_view instance, std::int64_t incarnation,
                     ShareOptions options, Clock clock)
    : instance(instance),
      incarnation(incarnation),
      options(options),
      clock(clock) {}

ShareBook::Shard& ShareBook::ShardOf(std::string_view workspace) {
  return this->shards[StableHash(workspace) % kShards];
}

const ShareBook::Shard& ShareBook::ShardOf(std::string_view workspace) const {
  return this->shards[StableHash(workspace) % kShards];
}

ShareBook::Book& ShareBook::BookOf(Shard& shard,
                                   std::string_view workspace) const {
  const auto found = shard.books.find(workspace);
  if (found != shard.books.end()) return found->second;
  return shard.books
      .emplace(std::string(workspace), Book(this->clock.Now()))
      .first->second;
}

// A burst smaller than what accrues within the hold limit would leave nothing
// to hold; half of it then bounds the time that a loan may be held.
absl::Duration ShareBook::HoldLimit(const RateLimit& rate) const {
  const absl::Duration half_burst =
      TimeFor(rate.burst_tokens / 2, rate.tokens_per_second);
  return std::min(this->options.hold_limit, half_burst);
}

// Failure: a loan on its way is in no bucket, so the lender's bucket accrues
// under its cap as if the loan were spent. The workspace could then hold a
// full burst and the loan besides. At most rate * hold limit accrues until
// the loan is spent or lost, so lowering the burst by that keeps the bound.
double ShareBook::EffectiveBurst(const RateLimit& rate) const {
  const double held =
      rate.tokens_per_second * absl::ToDoubleSeconds(this->HoldLimit(rate));
  return std::max(0.0, rate.burst_tokens - held);
}

void ShareBook::Reconfigure(Book& book) const {
  const Instant now = this->clock.Now();
  if (!book.rate.has_value() || !book.allotment.has_value()) {
    book.bucket.Configure(0, 0, now);
    return;
  }
  const double part = PartOf(
      ShareOf(*book.allotment, this->instance, this->incarnation));
  book.bucket.Configure(part * book.rate->tokens_per_second,
                        part * this->EffectiveBurst(*book.rate), now);
}

void ShareBook::SetRate(std::string_view workspace,
                        std::optional<RateLimit> rate) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, workspace);
  book.rate = rate;
  this->Reconfigure(book);
}

void ShareBook::Adopt(const Allotment& allotment) {
  Shard& shard = this->ShardOf(allotment.workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, allotment.workspace);
  if (book.allotment.has_value() && book.allotment->epoch >= allotment.epoch) {
    return;
  }
  book.allotment = allotment;
  this->Reconfigure(book);
}

std::int64_t ShareBook::FollowedEpoch(std::string_view workspace) const {
  const std::optional<Allotment> followed = this->Followed(workspace);
  return followed.has_value() ? followed->epoch : 0;
}

std::optional<Allotment> ShareBook::Followed(std::string_view workspace) const {
  const Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(workspace);
  if (found == shard.books.end()) return std::nullopt;
  return found->second.allotment;
}

Admission ShareBook::Begin(std::string_view workspace, double cost,
                           absl::Duration max_wait) const {
  Admission admission;
  admission.workspace = std::string(workspace);
  admission.cost = cost;
  admission.started = this->clock.Now();
  admission.max_wait = max_wait;
  return admission;
}

AdmissionStep ShareBook::Next(Admission& admission) {
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(admission.workspace);
  if (found == shard.books.end()) return NoRate{};
  const Instant now = this->clock.Now();
  found->second.last_demand = now;
  return this->NextInBook(found->second, admission, now);
}

AdmissionStep ShareBook::NextInBook(Book& book, Admission& admission,
                                    Instant now) const {
  if (!book.rate.has_value()) return NoRate{};
  const double burst = this->EffectiveBurst(*book.rate);
  if (admission.cost > burst) return CostAboveBurst{burst};
  if (!book.allotment.has_value()) return NoShare{};
  this->DropExpired(book, admission, now);

  const double deficit = std::max(0.0, admission.cost - admission.gathered);
  const double own = book.bucket.Level(now);
  const std::vector<Lender> lenders = this->Lenders(book, admission, now);
  const double own_fullness =
      book.bucket.Cap() > 0 ? own / book.bucket.Cap() : 0.0;
  const bool peer_is_nearer_cap =
      admission.gathered == 0 && !lenders.empty() &&
      lenders.front().level >= deficit &&
      lenders.front().fullness > own_fullness + this->options.own_preference;
  if (own >= deficit && !peer_is_nearer_cap) {
    book.bucket.Withdraw(deficit, now);
    admission.charged = now;
    admission.gathered = 0;
    return Admitted{};
  }

  double available = own + admission.gathered;
  for (const Lender& lender : lenders) available += lender.level;
  // Without enough in sight nobody is asked: a workspace far over its rate
  // would otherwise cost a call to every holder for each refusal.
  if (lenders.empty() || available < admission.cost) {
    return this->WaitOrRefuse(book, admission, available, now);
  }
  if (admission.asked.empty()) admission.gathered_since = now;
  return BorrowFrom{lenders.front().peer,
                    static_cast<std::int64_t>(std::ceil(deficit))};
}

std::vector<ShareBook::Lender> ShareBook::Lenders(const Book& book,
                                                  const Admission& admission,
                                                  Instant now) const {
  std::vector<Lender> lenders;
  const double burst = this->EffectiveBurst(*book.rate);
  for (const HolderShare& holder : book.allotment->holders) {
    if (holder.instance == this->instance || holder.share == 0) continue;
    if (admission.asked.count(holder.instance) > 0) continue;
    const double part = PartOf(holder.share);
    const double cap = part * burst;
    double level = cap;
    const auto hint = book.hints.find(holder.instance);
    if (hint != book.hints.end()) {
      const double seconds = absl::ToDoubleSeconds(now - hint->second.at);
      level = std::min(cap, hint->second.level +
                                part * book.rate->tokens_per_second * seconds);
    }
    if (level < 1) continue;
    lenders.push_back(Lender{holder.instance, level, level / cap});
  }
  std::sort(lenders.begin(), lenders.end(),
            [](const Lender& a, const Lender& b) {
              return a.fullness > b.fullness;
            });
  return lenders;
}

// Failure: a borrower is paused with loans in hand and spends them on waking,
// when the lenders' buckets are full again. Loans older than the hold limit
// count as lost, measured on the borrower's own clock from its own asking,
// which is no later than the lender's debit.
void ShareBook::DropExpired(const Book& book, Admission& admission,
                            Instant now) const {
  if (admission.gathered == 0) return;
  if (now - admission.gathered_since <= this->HoldLimit(*book.rate)) return;
  admission.gathered = 0;
}

void ShareBook::PutAway(Book& book, Admission& admission, Instant now) const {
  if (book.rate.has_value()) this->DropExpired(book, admission, now);
  book.bucket.Deposit(admission.gathered, now);
  admission.gathered = 0;
}

AdmissionStep ShareBook::WaitOrRefuse(Book& book, Admission& admission,
                                      double available, Instant now) const {
  this->PutAway(book, admission, now);
  admission.asked.clear();
  const absl::Duration missing =
      TimeFor(admission.cost - available, book.rate->tokens_per_second);
  const absl::Duration delay =
      std::clamp(missing, kShortestWait, kLongestWait);
  if (now + std::max(missing, delay) >
      admission.started + admission.max_wait) {
    return OverRate{std::max(missing, kShortestRetryAfter)};
  }
  return WaitFor{delay};
}

void ShareBook::FinishLoan(Admission& admission, std::string_view peer,
                           const std::optional<Loan>& loan) {
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, admission.workspace);
  const Instant now = this->clock.Now();
  admission.asked.insert(std::string(peer));
  Hint& hint = book.hints[std::string(peer)];
  hint.at = now;
  if (!loan.has_value()) {
    // Silence says nothing of its bucket; it counts as empty until it speaks
    // again, so that the next requests do not wait for it too.
    hint.level = 0;
    return;
  }
  hint.level = static_cast<double>(loan->level);
  hint.cap = static_cast<double>(loan->cap);
  admission.gathered += static_cast<double>(loan->granted);
}

void ShareBook::Abandon(Admission& admission) {
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  this->PutAway(this->BookOf(shard, admission.workspace), admission,
                this->clock.Now());
}

void ShareBook::Settle(const Admission& admission, double used) {
  if (!admission.charged.has_value()) return;
  Shard& shard = this->ShardOf(admission.workspace);
  absl::MutexLock lock(&shard.mutex);
  Book& book = this->BookOf(shard, admission.workspace);
  const double unused = std::max(0.0, admission.cost - std::max(0.0, used));
  book.bucket.Refund(unused, *admission.charged, this->clock.Now());
}

Loan ShareBook::Lend(std::string_view workspace, std::int64_t tokens) {
  Shard& shard = this->ShardOf(workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(workspace);
  if (found == shard.books.end() || tokens <= 0) return Loan{};
  TokenBucket& bucket = found->second.bucket;
  const Instant now = this->clock.Now();
  found->second.last_demand = now;
  const double whole =
      std::floor(std::min(bucket.Level(now), static_cast<double>(tokens)));
  Loan loan;
  loan.granted = static_cast<std::int64_t>(bucket.WithdrawUpTo(whole, now));
  loan.level = static_cast<std::int64_t>(bucket.Level(now));
  loan.cap = static_cast<std::int64_t>(bucket.Cap());
  return loan;
}

std::vector<WorkspaceBalance> ShareBook::Balances(std::size_t limit) const {
  std::vector<WorkspaceBalance> balances;
  const Instant now = this->clock.Now();
  for (const Shard& shard : this->shards) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [workspace, book] : shard.books) {
      if (balances.size() == limit) return balances;
      if (now - book.last_demand > this->options.demand_memory) continue;
      if (book.bucket.Cap() == 0) continue;
      balances.push_back(WorkspaceBalance{
          workspace, static_cast<std::int64_t>(book.bucket.Level(now)),
          static_cast<std::int64_t>(book.bucket.Cap())});
    }
  }
  return balances;
}

void ShareBook::Learn(std::string_view peer, const WorkspaceBalance& balance) {
  Shard& shard = this->ShardOf(balance.workspace);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.books.find(balance.workspace);
  if (found == shard.books.end()) return;
  Hint& hint = found->second.hints[std::string(peer)];
  hint.level = static_cast<double>(balance.level);
  hint.cap = static_cast<double>(balance.cap);
  hint.at = this->clock.Now();
}

}  // namespace dragonflyglade
