#include "dragonflyglade/decision/token_bucket.h"

#include <algorithm>

namespace dragonflyglade {

TokenBucket::TokenBucket(Instant now) { this->state.updated = now; }

void TokenBucket::Configure(double rate, double cap, Instant now) {
  this->Accrue(now);
  this->rate = rate;
  this->cap = cap;
  this->state.level = std::min(this->state.level, cap - this->state.reserved);
  this->Remember();
}

double TokenBucket::Level(Instant now) const {
  State state = this->state;
  for (const Outstanding& entry : this->outstanding) {
    if (entry.expires > now) break;
    this->Grow(state, entry.expires);
    state.reserved -= entry.tokens;
  }
  this->Grow(state, now);
  return state.level;
}

double TokenBucket::Reserved(Instant now) const {
  double reserved = 0;
  for (const Outstanding& entry : this->outstanding) {
    if (entry.expires > now) reserved += entry.tokens;
  }
  return reserved;
}

double TokenBucket::Room() const {
  return this->cap - this->state.reserved - this->state.level;
}

void TokenBucket::Grow(State& state, Instant until) const {
  if (until <= state.updated) return;
  const double accrued =
      this->rate * absl::ToDoubleSeconds(until - state.updated);
  const double room = this->cap - state.reserved - state.level;
  state.level += std::clamp(accrued, 0.0, std::max(0.0, room));
  state.updated = until;
}

// Failure: a loan is spent a moment after it was given, and the bucket that
// gave it has filled up again by then; the workspace spends a full burst and
// the loan besides. So what is reserved counts towards the cap until it can
// no longer be spent. Away from the cap, where tokens matter, this costs
// nothing.
void TokenBucket::Accrue(Instant now) {
  while (!this->outstanding.empty() &&
         this->outstanding.front().expires <= now) {
    this->Grow(this->state, this->outstanding.front().expires);
    this->state.reserved -= this->outstanding.front().tokens;
    this->outstanding.pop_front();
  }
  if (this->outstanding.empty()) this->state.reserved = 0;
  this->Grow(this->state, now);
}

bool TokenBucket::Withdraw(double tokens, Instant now) {
  this->Accrue(now);
  if (this->state.level < tokens) return false;
  this->Remember();
  this->state.level -= tokens;
  return true;
}

std::optional<Reservation> TokenBucket::Reserve(double tokens,
                                                absl::Duration longest,
                                                absl::Duration hold,
                                                Instant now) {
  this->Accrue(now);
  if (tokens > this->cap) return std::nullopt;
  Reservation reservation;
  const double missing = tokens - this->state.level;
  if (missing > 0) {
    if (this->rate <= 0) return std::nullopt;
    reservation.wait = absl::Seconds(missing / this->rate);
  }
  if (reservation.wait > longest) return std::nullopt;
  reservation.use_by = reservation.wait + hold;
  // As long as the bucket would not fill up anyway, a later use-by time costs
  // nothing, and spares the taker the loss when other parts come later.
  const double accrued = this->rate * absl::ToDoubleSeconds(longest + hold);
  if (this->Room() > accrued) reservation.use_by = longest + hold;
  this->Remember();
  this->state.level -= tokens;
  this->state.reserved += tokens;
  const Outstanding entry{now + reservation.use_by, tokens};
  const auto place =
      std::upper_bound(this->outstanding.begin(), this->outstanding.end(),
                       entry, [](const Outstanding& a, const Outstanding& b) {
                         return a.expires < b.expires;
                       });
  this->outstanding.insert(place, entry);
  return reservation;
}

double TokenBucket::Deposit(double tokens, Instant now) {
  this->Accrue(now);
  const double kept = std::clamp(tokens, 0.0, std::max(0.0, this->Room()));
  this->state.level += kept;
  return kept;
}

// Failure: a request charged a full burst finishes with most of it unused
// after the bucket has filled again. A plain refund under the cap then lets a
// second burst follow the first at once, and the workspace gets more than
// burst + rate * t in that window. The room that was there at every instant
// since the charge is what a bucket charged the smaller amount would still
// hold, so crediting no more than that keeps the window bound exact. The room
// just before the charge itself does not count: it was full by right.
double TokenBucket::Refund(double tokens, Instant since, Instant now) {
  this->Accrue(now);
  double room = this->Room();
  for (const Headroom& past : this->headrooms) {
    if (past.at > since) room = std::min(room, past.room);
  }
  const double kept = std::clamp(tokens, 0.0, std::max(room, 0.0));
  this->state.level += kept;
  for (Headroom& past : this->headrooms) {
    if (past.at > since) past.room -= kept;
  }
  return kept;
}

// The level peaks just before a withdrawal, so remembering those instants is
// enough. Beyond the limit the two oldest become one that is at least as
// strict as either.
void TokenBucket::Remember() {
  const double room = this->Room();
  while (!this->headrooms.empty() && this->headrooms.back().room >= room) {
    this->headrooms.pop_back();
  }
  this->headrooms.push_back(Headroom{this->state.updated, room});
  if (this->headrooms.size() <= kMaxRemembered) return;
  const Headroom oldest = this->headrooms.front();
  this->headrooms.pop_front();
  Headroom& next = this->headrooms.front();
  next.room = std::min(next.room, oldest.room);
}

}  // namespace dragonflyglade
