#include "dragonflyglade/store/claim_store.h"

#include <fmt/format.h>

#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/operator/caller_key.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kLeaseSharingPeriod = absl::Hours(1);
constexpr absl::Duration kRetryInterval = absl::Milliseconds(200);
constexpr std::size_t kMaxPendingWrites = 10'000;

}  // namespace

ClaimStore::ClaimStore(const KvClient& kv, absl::Duration retention,
                       Clock clock)
    : kv(kv),
      retention(retention),
      clock(clock),
      worker([this] { return this->WritePendingWrites(); }) {
  this->worker.Start();
}

ClaimStore::~ClaimStore() { this->worker.Stop(); }

std::string ClaimStore::ClaimKeyFor(std::string_view workspace,
                                    std::string_view idempotency_key) {
  return fmt::format("claim/{}/{}", workspace, Sha256Hex(idempotency_key));
}

Result<std::int64_t> ClaimStore::CurrentLease() {
  absl::MutexLock lock(&this->lease_mutex);
  const Instant now = this->clock.Now();
  if (now < this->lease_shared_until) return this->lease;
  const Result<std::int64_t> granted =
      this->kv.GrantLease(this->retention + kLeaseSharingPeriod);
  if (!granted.Ok()) return granted;
  this->lease = granted.Value();
  this->lease_shared_until = now + kLeaseSharingPeriod;
  return granted;
}

std::int64_t ClaimStore::LastGrantedLease() {
  absl::MutexLock lock(&this->lease_mutex);
  return this->lease;
}

ClaimWriteResult ClaimStore::Create(const std::string& key,
                                    const Claim& claim) {
  const Result<std::int64_t> lease = this->CurrentLease();
  if (!lease.Ok()) return ClaimNotWritten{};
  const KvCondition absent{key, 0};
  const KvWrite write{key, SerializeClaim(claim), lease.Value(), false};
  const Result<KvTxnResult> reply = this->kv.Txn({absent}, {write});
  if (!reply.Ok()) {
    if (reply.Error().code == Errc::kOutcomeUnknown) {
      return ClaimOutcomeUnknown{};
    }
    return ClaimNotWritten{};
  }
  if (reply.Value().succeeded) return ClaimCreated{reply.Value().revision};
  // The comparison failed, but the existing claim was gone by the time it was
  // read. The caller may try again.
  if (reply.Value().found.empty()) return ClaimNotWritten{};
  const KvEntry& found = reply.Value().found.front();
  return ClaimExists{found.value, found.mod_revision};
}

void ClaimStore::RecordOutcome(const std::string& key, std::int64_t revision,
                               const Claim& claim) {
  // A claim written without a lease would never be removed. If no lease can be
  // granted now, the previous one is used: it lives on for as long as claims
  // are kept.
  const Result<std::int64_t> granted = this->CurrentLease();
  const std::int64_t lease =
      granted.Ok() ? granted.Value() : this->LastGrantedLease();
  KvWrite write{key, SerializeClaim(claim), lease, false};
  this->Enqueue(PendingWrite{KvCondition{key, revision}, std::move(write)});
}

void ClaimStore::RemoveClaim(const std::string& key, std::int64_t revision) {
  this->Enqueue(
      PendingWrite{KvCondition{key, revision}, KvWrite{key, "", 0, true}});
}

void ClaimStore::Enqueue(PendingWrite pending) {
  if (this->TryWrite(pending)) return;
  absl::MutexLock lock(&this->mutex);
  // Beyond the limit the write is dropped. The claim then stays in the state
  // kRunning, so a repeated call is told that the outcome is not known, which
  // is still correct.
  if (this->pending_writes.size() >= kMaxPendingWrites) return;
  this->pending_writes.push_back(std::move(pending));
}

bool ClaimStore::TryWrite(const PendingWrite& pending) {
  const Result<KvTxnResult> reply =
      this->kv.Txn({pending.condition}, {pending.write});
  // Any response is final: if the comparison failed, an earlier attempt, whose
  // response was lost, has done the write.
  return reply.Ok();
}

absl::Duration ClaimStore::WritePendingWrites() {
  while (true) {
    PendingWrite next;
    {
      absl::MutexLock lock(&this->mutex);
      if (this->pending_writes.empty()) return kRetryInterval;
      next = this->pending_writes.front();
    }
    if (!this->TryWrite(next)) return kRetryInterval;
    absl::MutexLock lock(&this->mutex);
    this->pending_writes.pop_front();
  }
}

std::size_t ClaimStore::PendingWrites() const {
  absl::MutexLock lock(&this->mutex);
  return this->pending_writes.size();
}

void ClaimStore::Flush(absl::Duration limit) {
  const Instant until = this->clock.Now() + limit;
  while (this->PendingWrites() > 0 && this->clock.Now() < until) {
    absl::SleepFor(absl::Milliseconds(20));
  }
}

}  // namespace dragonflyglade
