#include "dragonflyglade/decision/token_bucket.h"

#include <algorithm>

namespace dragonflyglade {

TokenBucket::TokenBucket(Instant now) { this->state.updated = now; }

void TokenBucket::Configure(double rate, double cap, Instant now) {
  this->Update(now);
  this->rate = rate;
  this->cap = cap;
  this->state.level = std::min(this->state.level, cap - this->state.reserved);
  this->RecordHeadroom();
}

double TokenBucket::Level(Instant now) const {
  State state = this->state;
  for (const ReservedTokens& entry : this->reservations) {
    if (entry.expires > now) break;
    this->Accrue(state, entry.expires);
    state.reserved -= entry.tokens;
  }
  this->Accrue(state, now);
  return state.level;
}

double TokenBucket::Reserved(Instant now) const {
  double reserved = 0;
  for (const ReservedTokens& entry : this->reservations) {
    if (entry.expires > now) reserved += entry.tokens;
  }
  return reserved;
}

double TokenBucket::CurrentHeadroom() const {
  return this->cap - this->state.reserved - this->state.level;
}

void TokenBucket::Accrue(State& state, Instant until) const {
  if (until <= state.updated) return;
  const double accrued =
      this->rate * absl::ToDoubleSeconds(until - state.updated);
  const double headroom = this->cap - state.reserved - state.level;
  state.level += std::clamp(accrued, 0.0, std::max(0.0, headroom));
  state.updated = until;
}

// Failure: a bucket lends tokens and fills up to its cap again before the loan
// is spent; the workspace then spends a full burst and the loan besides. So
// reserved tokens count towards the cap until they can no longer be spent. This
// costs nothing while the bucket is well below its cap, which is when tokens
// are scarce.
void TokenBucket::Update(Instant now) {
  while (!this->reservations.empty() &&
         this->reservations.front().expires <= now) {
    this->Accrue(this->state, this->reservations.front().expires);
    this->state.reserved -= this->reservations.front().tokens;
    this->reservations.pop_front();
  }
  if (this->reservations.empty()) this->state.reserved = 0;
  this->Accrue(this->state, now);
}

bool TokenBucket::Withdraw(double tokens, Instant now) {
  this->Update(now);
  if (this->state.level < tokens) return false;
  this->RecordHeadroom();
  this->state.level -= tokens;
  return true;
}

std::optional<Reservation> TokenBucket::Reserve(double tokens,
                                                absl::Duration max_wait,
                                                absl::Duration hold_time,
                                                Instant now) {
  this->Update(now);
  if (tokens > this->cap) return std::nullopt;
  Reservation reservation;
  const double missing = tokens - this->state.level;
  if (missing > 0) {
    if (this->rate <= 0) return std::nullopt;
    reservation.wait = absl::Seconds(missing / this->rate);
  }
  if (reservation.wait > max_wait) return std::nullopt;
  reservation.use_by = reservation.wait + hold_time;
  // If the bucket would not reach its cap before then, a later use-by time
  // costs nothing. It keeps these tokens valid for a borrower that still waits
  // for tokens from other buckets.
  const double accrued =
      this->rate * absl::ToDoubleSeconds(max_wait + hold_time);
  if (this->CurrentHeadroom() > accrued)
    reservation.use_by = max_wait + hold_time;
  this->RecordHeadroom();
  this->state.level -= tokens;
  this->state.reserved += tokens;
  const ReservedTokens entry{now + reservation.use_by, tokens};
  const auto position = std::upper_bound(
      this->reservations.begin(), this->reservations.end(), entry,
      [](const ReservedTokens& a, const ReservedTokens& b) {
        return a.expires < b.expires;
      });
  this->reservations.insert(position, entry);
  return reservation;
}

double TokenBucket::Deposit(double tokens, Instant now) {
  this->Update(now);
  const double added =
      std::clamp(tokens, 0.0, std::max(0.0, this->CurrentHeadroom()));
  this->state.level += added;
  return added;
}

// Failure: a request that was charged a full burst ends with most of it unused
// after the bucket has filled up again. A refund that is limited only by the
// cap then lets a second burst follow the first at once, and the workspace gets
// more than burst + rate * t in a window of length t. Had the request been
// charged only what it used, the additional tokens would have been lost
// wherever they exceeded the cap. So the refund is limited to the least
// headroom at any time since the charge, which keeps the bound exact. The
// headroom just before the charge does not count, since the level still
// contained these tokens then.
double TokenBucket::Refund(double tokens, Instant taken_at, Instant now) {
  this->Update(now);
  double headroom = this->CurrentHeadroom();
  for (const Headroom& past : this->headrooms) {
    if (past.at > taken_at) headroom = std::min(headroom, past.tokens);
  }
  const double added = std::clamp(tokens, 0.0, std::max(headroom, 0.0));
  this->state.level += added;
  for (Headroom& past : this->headrooms) {
    if (past.at > taken_at) past.tokens -= added;
  }
  return added;
}

// The headroom is least just before tokens are taken, so recording it at those
// times is enough. Above kMaxHeadrooms entries, the two oldest are merged into
// one that limits refunds at least as much as either.
void TokenBucket::RecordHeadroom() {
  const double headroom = this->CurrentHeadroom();
  while (!this->headrooms.empty() &&
         this->headrooms.back().tokens >= headroom) {
    this->headrooms.pop_back();
  }
  this->headrooms.push_back(Headroom{this->state.updated, headroom});
  if (this->headrooms.size() <= kMaxHeadrooms) return;
  const Headroom oldest = this->headrooms.front();
  this->headrooms.pop_front();
  Headroom& next = this->headrooms.front();
  next.tokens = std::min(next.tokens, oldest.tokens);
}

}  // namespace dragonflyglade
