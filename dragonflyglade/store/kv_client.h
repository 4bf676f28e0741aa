#ifndef DRAGONFLYGLADE_STORE_KV_CLIENT_H_
#define DRAGONFLYGLADE_STORE_KV_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/net/endpoint.h"

namespace dragonflyglade {

/// A key with its value and metadata, as the service stores them.
struct KvEntry {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

/// Entries read in one call, at one revision of the store.
struct KvRange {
  std::vector<KvEntry> entries;  ///< ordered by key
  std::int64_t revision = 0;
};

/// Which keys to read.
struct KvQuery {
  std::string key;
  bool prefix = false;            ///< all keys that begin with key
  std::int64_t at_revision = 0;   ///< a past revision; 0 for the newest
  std::int64_t min_revision = 0;  ///< only entries modified at or after it
};

/// A condition of a transaction: the key's modification revision, where 0
/// means that the key must not exist.
struct KvCondition {
  std::string key;
  std::int64_t mod_revision = 0;
};

/// One write of a transaction: a put, or a deletion if remove is set.
struct KvWrite {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
  bool remove = false;
};

/// The result of a transaction.
struct KvTxnResult {
  bool succeeded = false;  ///< whether all conditions held
  std::int64_t revision = 0;
  /// If a condition failed: the existing entries of the conditions' keys.
  std::vector<KvEntry> found;
};

/// A change of one key, delivered by a watch.
struct KvEvent {
  KvEntry entry;
  bool deleted = false;
};

/// The service's endpoints and the time limits of calls.
struct KvOptions {
  std::vector<Endpoint> endpoints;
  absl::Duration connect_timeout = absl::Milliseconds(300);
  absl::Duration call_timeout = absl::Seconds(1);
  /// A watch that receives nothing for this long fails.
  absl::Duration watch_read_timeout = absl::Seconds(10);
};

/// Lets another thread end a running watch.
class KvWatchHandle {
 public:
  virtual ~KvWatchHandle() = default;
  virtual void Stop() = 0;
};

/// Client of the platform's key-value service, through etcd v3's JSON gateway.
///
/// Thread-safe; each call opens a connection of its own. If an endpoint cannot
/// be reached, the next one is tried.
/// Errors of all calls: kUnavailable when nothing was changed;
/// kOutcomeUnknown when a write may or may not have taken effect;
/// kMalformedResponse for a malformed response.
class KvClient {
 public:
  explicit KvClient(KvOptions options);

  Result<KvRange> Range(const KvQuery& query) const;

  /// Executes all writes if all conditions hold, else none.
  Result<KvTxnResult> Txn(absl::Span<const KvCondition> conditions,
                          absl::Span<const KvWrite> writes) const;

  /// @return the lease's id
  Result<std::int64_t> GrantLease(absl::Duration ttl) const;

  /// Renews a lease. Errors also: kNotHeld when it has expired.
  Status KeepAlive(std::int64_t lease) const;

  /// Revokes a lease, which also removes its keys.
  Status RevokeLease(std::int64_t lease) const;

  using OnEvents =
      std::function<void(absl::Span<const KvEvent>, std::int64_t revision)>;

  /// Watches all keys with a prefix, and blocks until the watch ends.
  /// @param from_revision the first revision whose changes are delivered
  /// @param on_start receives the handle that ends the watch, before it begins
  /// @param on_events called for each message of the watch with its events,
  ///   of which there may be none, and the store's revision
  /// @return why the watch ended
  Failure Watch(
      std::string_view prefix, std::int64_t from_revision,
      const std::function<void(std::shared_ptr<KvWatchHandle>)>& on_start,
      const OnEvents& on_events) const;

  /// The number of calls made since the start, including watches.
  std::int64_t CallCount() const { return this->calls; }

 private:
  Result<std::string> Call(std::string_view step, std::string_view path,
                           const std::string& body, bool writes) const;

  const KvOptions options;
  mutable std::atomic<std::size_t> preferred{0};
  mutable std::atomic<std::int64_t> calls{0};
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_KV_CLIENT_H_
