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
/// Claims hang on a lease that all claims of an hour share, so they go away
/// by themselves without a call each. Thread-safe.
class ClaimStore {
 public:
  /// @param keep how long a claim is remembered at least
  ClaimStore(const KvClient& kv, absl::Duration keep, Clock clock);
  ~ClaimStore();

  /// "claim/<workspace>/<hash of the idempotency key>".
  static std::string ClaimKeyFor(std::string_view workspace,
                                 std::string_view idempotency_key);

  /// Tries once to create a claim.
  ClaimWriteResult Create(const std::string& key, const Claim& claim);

  /// Writes how a claimed call ended; goes on trying in the background.
  void Finish(const std::string& key, std::int64_t revision,
              const Claim& claim);

  /// Removes a claim whose call was certainly never sent; goes on trying in
  /// the background.
  void Release(const std::string& key, std::int64_t revision);

  /// Endings that wait to be written.
  std::size_t Pending() const;

  /// Writes what waits, for at most the given time.
  void Flush(absl::Duration limit);

 private:
  struct Ending {
    KvCondition expect;
    KvWrite write;
  };

  Result<std::int64_t> Lease();
  std::int64_t LastLease();
  absl::Duration WritePending();
  bool WriteOne(const Ending& ending);
  void Enqueue(Ending ending);

  const KvClient& kv;
  const absl::Duration keep;
  const Clock clock;
  absl::Mutex lease_mutex;
  std::int64_t lease ABSL_GUARDED_BY(lease_mutex) = 0;
  Instant lease_until ABSL_GUARDED_BY(lease_mutex) = -absl::InfiniteDuration();
  mutable absl::Mutex mutex;
  std::deque<Ending> endings ABSL_GUARDED_BY(mutex);
  PeriodicWorker worker;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_CLAIM_STORE_H_
