#ifndef DRAGONFLYGLADE_STORE_CLAIM_STORE_H_
#define DRAGONFLYGLADE_STORE_CLAIM_STORE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/decision/claim.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/net/periodic_worker.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// Keeps claims in the key-value service.
///
/// All claims of one hour are attached to one shared lease, so the service
/// removes them when it expires, without a call for each claim. Thread-safe.
class ClaimStore {
 public:
  /// @param retention the shortest time for which a claim is kept
  ClaimStore(const KvClient& kv, absl::Duration retention, Clock clock);
  ~ClaimStore();

  /// "claim/<workspace>/<hash of the idempotency key>".
  static std::string ClaimKeyFor(std::string_view workspace,
                                 std::string_view idempotency_key);

  /// Makes one attempt to create a claim.
  ClaimWriteResult Create(const std::string& key, const Claim& claim);

  /// Replaces a claim by one with the outcome of its call. If the write fails,
  /// it is retried in the background.
  /// @param revision the claim's revision when it was created
  void RecordOutcome(const std::string& key, std::int64_t revision,
                     const Claim& claim);

  /// Removes a claim whose call was certainly never sent. If the write fails,
  /// it is retried in the background.
  /// @param revision the claim's revision when it was created
  void RemoveClaim(const std::string& key, std::int64_t revision);

  /// The number of writes that wait to be retried.
  std::size_t PendingWrites() const;

  /// Waits until no write is pending, for at most the given time.
  void Flush(absl::Duration limit);

 private:
  struct PendingWrite {
    KvCondition condition;
    KvWrite write;
  };

  Result<std::int64_t> CurrentLease();
  std::int64_t LastGrantedLease();
  absl::Duration WritePendingWrites();
  bool TryWrite(const PendingWrite& ending);
  void Enqueue(PendingWrite ending);

  const KvClient& kv;
  const absl::Duration retention;
  const Clock clock;
  absl::Mutex lease_mutex;
  std::int64_t lease ABSL_GUARDED_BY(lease_mutex) = 0;
  Instant lease_shared_until ABSL_GUARDED_BY(lease_mutex) =
      -absl::InfiniteDuration();
  mutable absl::Mutex mutex;
  std::deque<PendingWrite> pending_writes ABSL_GUARDED_BY(mutex);
  PeriodicWorker worker;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_CLAIM_STORE_H_
