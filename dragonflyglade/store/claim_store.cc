#include "dragonflyglade/store/claim_store.h"

#include <fmt/format.h>

#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/operator/caller_key.h"

namespace dragonflyglade {
namespace {

constexpr absl::Duration kLeaseShared = absl::Hours(1);
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);
constexpr std::size_t kMostEndings = 10'000;

}  // namespace

ClaimStore::ClaimStore(const KvClient& kv, absl::Duration keep, Clock clock)
    : kv(kv),
      keep(keep),
      clock(clock),
      worker([this] { return this->WritePending(); }) {
  this->worker.Start();
}

ClaimStore::~ClaimStore() { this->worker.Stop(); }

std::string ClaimStore::ClaimKeyFor(std::string_view workspace,
                                    std::string_view idempotency_key) {
  return fmt::format("claim/{}/{}", workspace, Sha256Hex(idempotency_key));
}

Result<std::int64_t> ClaimStore::Lease() {
  absl::MutexLock lock(&this->lease_mutex);
  const Instant now = this->clock.Now();
  if (now < this->lease_until) return this->lease;
  const Result<std::int64_t> granted =
      this->kv.GrantLease(this->keep + kLeaseShared);
  if (!granted.Ok()) return granted;
  this->lease = granted.Value();
  this->lease_until = now + kLeaseShared;
  return granted;
}

std::int64_t ClaimStore::LastLease() {
  absl::MutexLock lock(&this->lease_mutex);
  return this->lease;
}

ClaimWriteResult ClaimStore::Create(const std::string& key,
                                    const Claim& claim) {
  const Result<std::int64_t> lease = this->Lease();
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
  // Removed between the comparison and the read: try again.
  if (reply.Value().found.empty()) return ClaimNotWritten{};
  const KvEntry& found = reply.Value().found.front();
  return ClaimExists{found.value, found.mod_revision};
}

void ClaimStore::Finish(const std::string& key, std::int64_t revision,
                        const Claim& claim) {
  // An ending without a lease would stay for good. If none can be granted now,
  // the last one still lives for as long as claims are kept.
  const Result<std::int64_t> granted = this->Lease();
  const std::int64_t lease = granted.Ok() ? granted.Value() : this->LastLease();
  KvWrite write{key, SerializeClaim(claim), lease, false};
  this->Enqueue(Ending{KvCondition{key, revision}, std::move(write)});
}

void ClaimStore::Release(const std::string& key, std::int64_t revision) {
  this->Enqueue(Ending{KvCondition{key, revision}, KvWrite{key, "", 0, true}});
}

void ClaimStore::Enqueue(Ending ending) {
  if (this->WriteOne(ending)) return;
  absl::MutexLock lock(&this->mutex);
  // Beyond the limit an ending is dropped: its claim stays "running", and a
  // repeat of the call is answered with "unknown", which is still true.
  if (this->endings.size() >= kMostEndings) return;
  this->endings.push_back(std::move(ending));
}

bool ClaimStore::WriteOne(const Ending& ending) {
  const Result<KvTxnResult> reply =
      this->kv.Txn({ending.expect}, {ending.write});
  // An answered comparison is final either way: if it failed, an earlier
  // attempt whose answer was lost did the write.
  return reply.Ok();
}

absl::Duration ClaimStore::WritePending() {
  while (true) {
    Ending next;
    {
      absl::MutexLock lock(&this->mutex);
      if (this->endings.empty()) return kRetryPause;
      next = this->endings.front();
    }
    if (!this->WriteOne(next)) return kRetryPause;
    absl::MutexLock lock(&this->mutex);
    this->endings.pop_front();
  }
}

std::size_t ClaimStore::Pending() const {
  absl::MutexLock lock(&this->mutex);
  return this->endings.size();
}

void ClaimStore::Flush(absl::Duration limit) {
  const Instant until = this->clock.Now() + limit;
  while (this->Pending() > 0 && this->clock.Now() < until) {
    absl::SleepFor(absl::Milliseconds(20));
  }
}

}  // namespace dragonflyglade
