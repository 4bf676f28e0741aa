#include "dragonflyglade/decision/token_bucket.h"

#include <algorithm>

namespace dragonflyglade {

TokenBucket::TokenBucket(Instant now) : updated(now) {}

void TokenBucket::Configure(double rate, double cap, Instant now) {
  this->Accrue(now);
  this->rate = rate;
  this->cap = cap;
  this->level = std::min(this->level, cap);
  this->Remember();
}

double TokenBucket::Level(Instant now) const {
  if (now <= this->updated) return this->level;
  const double seconds = absl::ToDoubleSeconds(now - this->updated);
  return std::min(this->cap, this->level + this->rate * seconds);
}

void TokenBucket::Accrue(Instant now) {
  this->level = this->Level(now);
  this->updated = std::max(this->updated, now);
}

bool TokenBucket::Withdraw(double tokens, Instant now) {
  this->Accrue(now);
  if (this->level < tokens) return false;
  this->Remember();
  this->level -= tokens;
  return true;
}

double TokenBucket::WithdrawUpTo(double tokens, Instant now) {
  this->Accrue(now);
  const double taken = std::clamp(tokens, 0.0, this->level);
  this->Remember();
  this->level -= taken;
  return taken;
}

double TokenBucket::Deposit(double tokens, Instant now) {
  this->Accrue(now);
  const double kept = std::clamp(tokens, 0.0, this->cap - this->level);
  this->level += kept;
  return kept;
}

// Failure: a request charged a full burst finishes with most of it unused
// after the bucket has filled again. A plain refund under the cap then lets a
// second burst follow the first at once, and the workspace gets more than
// burst + rate * t in that window. The room that was there at every instant
// since the charge is what a bucket charged the smaller amount would still
// hold, so crediting no more than that keeps the window bound exact.
double TokenBucket::Refund(double tokens, Instant since, Instant now) {
  this->Accrue(now);
  double room = this->cap - this->level;
  for (const Headroom& past : this->headrooms) {
    if (past.at >= since) room = std::min(room, past.room);
  }
  const double kept = std::clamp(tokens, 0.0, std::max(room, 0.0));
  this->level += kept;
  for (Headroom& past : this->headrooms) {
    if (past.at >= since) past.room -= kept;
  }
  return kept;
}

// The level peaks just before a withdrawal, so remembering those instants is
// enough. Beyond the limit the two oldest become one that is at least as
// strict as either.
void TokenBucket::Remember() {
  const double room = this->cap - this->level;
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
