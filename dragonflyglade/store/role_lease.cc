#include "dragonflyglade/store/role_lease.h"

namespace dragonflyglade {
namespace {

// The fraction of the lease's TTL for which this instance relies on the lease;
// the rest is a margin before the service may grant the role to another.
constexpr double kTrustedTtlFraction = 0.7;

}  // namespace

RoleLease::RoleLease(const KvClient& kv, std::string_view role,
                     std::string_view owner, absl::Duration ttl, Clock clock)
    : kv(kv),
      key("role/" + std::string(role)),
      owner(owner),
      ttl(ttl),
      clock(clock) {}

bool RoleLease::IsHeld() const { return this->clock.Now() < this->valid_until; }

bool RoleLease::TryRenew() {
  if (this->lease == 0) return false;
  const Instant sent_at = this->clock.Now();
  const Status renewed = this->kv.KeepAlive(this->lease);
  if (renewed.Ok()) {
    this->valid_until = sent_at + kTrustedTtlFraction * this->ttl;
    return true;
  }
  // Without a response the lease may still be valid, so the role is kept until
  // the trusted part of the TTL has passed.
  if (renewed.Error().code != Errc::kNotHeld) return this->IsHeld();
  this->lease = 0;
  this->valid_until = -absl::InfiniteDuration();
  return false;
}

bool RoleLease::TryAcquire() {
  if (this->lease != 0) return false;
  // The key is read first, because a role that another instance has then costs
  // one read in place of a lease grant and a write.
  KvQuery query;
  query.key = this->key;
  const Result<KvRange> range = this->kv.Range(query);
  if (!range.Ok() || !range.Value().entries.empty()) return false;
  const Instant sent_at = this->clock.Now();
  const Result<std::int64_t> granted = this->kv.GrantLease(this->ttl);
  if (!granted.Ok()) return false;
  const Result<KvTxnResult> reply =
      this->kv.Txn({KvCondition{this->key, 0}},
                   {KvWrite{this->key, this->owner, granted.Value(), false}});
  if (!reply.Ok() || !reply.Value().succeeded) {
    // If the write took effect although its response was lost, revoking the
    // lease removes the key again.
    this->kv.RevokeLease(granted.Value());
    return false;
  }
  this->lease = granted.Value();
  this->fence_token = reply.Value().revision;
  this->valid_until = sent_at + kTrustedTtlFraction * this->ttl;
  return true;
}

std::optional<std::int64_t> RoleLease::AcquireOrRenew() {
  if (this->TryRenew() || this->TryAcquire()) return this->fence_token;
  return std::nullopt;
}

void RoleLease::Release() {
  if (this->lease == 0) return;
  this->kv.RevokeLease(this->lease);
  this->lease = 0;
  this->valid_until = -absl::InfiniteDuration();
}

}  // namespace dragonflyglade
