#include "dragonflyglade/store/role_lease.h"

namespace dragonflyglade {
namespace {

// The part of the lease's time that this side counts on.
constexpr double kSafePart = 0.7;

}  // namespace

RoleLease::RoleLease(const KvClient& kv, std::string_view role,
                     std::string_view holder, absl::Duration ttl, Clock clock)
    : kv(kv),
      key("role/" + std::string(role)),
      holder(holder),
      ttl(ttl),
      clock(clock) {}

bool RoleLease::Held() const { return this->clock.Now() < this->held_until; }

bool RoleLease::Renew() {
  if (this->lease == 0) return false;
  const Instant asked_at = this->clock.Now();
  const Status kept = this->kv.KeepAlive(this->lease);
  if (kept.Ok()) {
    this->held_until = asked_at + kSafePart * this->ttl;
    return true;
  }
  // Unanswered: the lease may live on, so it is held until its time is up.
  if (kept.Error().code != Errc::kNotHeld) return this->Held();
  this->lease = 0;
  this->held_until = -absl::InfiniteDuration();
  return false;
}

bool RoleLease::Take() {
  if (this->lease != 0) return false;
  // Read first: a role that is taken costs a read, not a lease and a write.
  KvQuery query;
  query.key = this->key;
  const Result<KvRange> range = this->kv.Range(query);
  if (!range.Ok() || !range.Value().entries.empty()) return false;
  const Instant asked_at = this->clock.Now();
  const Result<std::int64_t> granted = this->kv.GrantLease(this->ttl);
  if (!granted.Ok()) return false;
  const Result<KvTxnResult> reply =
      this->kv.Txn({KvCondition{this->key, 0}},
                   {KvWrite{this->key, this->holder, granted.Value(), false}});
  if (!reply.Ok() || !reply.Value().succeeded) {
    // If the write took effect after all, the role goes with the lease.
    this->kv.RevokeLease(granted.Value());
    return false;
  }
  this->lease = granted.Value();
  this->fence = reply.Value().revision;
  this->held_until = asked_at + kSafePart * this->ttl;
  return true;
}

std::optional<std::int64_t> RoleLease::Hold() {
  if (this->Renew() || this->Take()) return this->fence;
  return std::nullopt;
}

void RoleLease::Release() {
  if (this->lease == 0) return;
  this->kv.RevokeLease(this->lease);
  this->lease = 0;
  this->held_until = -absl::InfiniteDuration();
}

}  // namespace dragonflyglade
