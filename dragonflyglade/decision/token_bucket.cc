#include "dragonflyglade/decision/token_bucket.h"

#include <algorithm>

namespace dragonflyglade {

TokenBucket::TokenBucket(Instant now) : updated(now) {}

void TokenBucket::Configure(double rate, double cap, Instant now) {
  this->Accrue(now);
  this->rate = rate;
  this->cap = cap;
  this->level = std::min(this->level, cap - this->outstanding_total);
  this->Remember();
}

double TokenBucket::Level(Instant now) const {
  TokenBucket later = *this;
  later.Accrue(now);
  return later.level;
}

double TokenBucket::Reserved(Instant now) const {
  TokenBucket later = *this;
  later.Accrue(now);
  return later.outstanding_total;
}

double TokenBucket::Room() const {
  return this->cap - this->outstanding_total - this->level;
}

void TokenBucket::Grow(Instant until) {
  if (until <= this->updated) return;
  const double accrued =
      this->rate * absl::ToDoubleSeconds(until - this->updated);
  this->level += std::clamp(accrued, 0.0, std::max(0.0, this->Room()));
  this->updated = until;
}

// Failure: a loan is spent a moment after it was given, and the bucket that
// gave it has filled up again by then; the workspace spends a full burst and
// the loan besides. So what is reserved counts towards the cap until it can
// no longer be spent. Away from the cap, where tokens matter, this costs
// nothing.
void TokenBucket::Accrue(Instant now) {
  while (!this->outstanding.empty() &&
         this->outstanding.front().expires <= now) {
    this->Grow(this->outstanding.front().expires);
    this->outstanding_total -= this->outstanding.front().tokens;
    this->outstanding.pop_front();
  }
  if (this->outstanding.empty()) this->outstanding_total = 0;
  this->Grow(now);
}

bool TokenBucket::Withdraw(double tokens, Instant now) {
  this->Accrue(now);
  if (this->level < tokens) return false;
  this->Remember();
  this->level -= tokens;
  return true;
}

std::optional<Reservation> TokenBucket::Reserve(double tokens,
                                                absl::Duration longest,
                                                absl::Duration hold,
                                                Instant now) {
  this->Accrue(now);
  if (tokens > this->cap) return std::nullopt;
  Reservation reservation;
  const double missing = tokens - this->level;
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
  this->level -= tokens;
  this->outstanding_total += tokens;
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
  this->level += kept;
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
  this->level += kept;
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
  this->headrooms.push_back(Headroom{this->updated, room});
  if (this->headrooms.size() <= kMaxRemembered) return;
  const Headroom oldest = this->headrooms.front();
  this->headrooms.pop_front();
  Headroom& next = this->headrooms.front();
  next.room = std::min(next.room, oldest.room);
}

}  // namespace dragonflyglade
