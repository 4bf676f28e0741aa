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

/// One key with its value, as the service holds it.
struct KvEntry {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

/// Keys read together, at one revision of the whole store.
struct KvRange {
  std::vector<KvEntry> entries;  ///< by key
  std::int64_t revision = 0;
};

/// Which keys to read.
struct KvQuery {
  std::string key;
  bool prefix = false;            ///< all keys that begin with key
  std::int64_t at_revision = 0;   ///< a past revision; 0 for the newest
  std::int64_t min_revision = 0;  ///< only entries modified at or after it
};

/// A condition of a transaction: the key's modification revision; 0 means
/// that the key is not there.
struct KvCondition {
  std::string key;
  std::int64_t mod_revision = 0;
};

/// A write of a transaction.
struct KvWrite {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
  bool remove = false;
};

/// What a transaction did.
struct KvTxnResult {
  bool succeeded = false;
  std::int64_t revision = 0;
  /// If it failed: the entries of the expected keys that are there.
  std::vector<KvEntry> found;
};

/// A change seen by a watch.
struct KvEvent {
  KvEntry entry;
  bool deleted = false;
};

/// Limits of the calls.
struct KvOptions {
  std::vector<Endpoint> endpoints;
  absl::Duration connect_timeout = absl::Milliseconds(300);
  absl::Duration call_timeout = absl::Seconds(1);
  /// Silence after which a watch is given up.
  absl::Duration watch_read_timeout = absl::Seconds(10);
};

/// A watch that another thread can end.
class KvWatchHandle {
 public:
  virtual ~KvWatchHandle() = default;
  virtual void Stop() = 0;
};

/// The platform's key-value service, by etcd v3's JSON gateway.
///
/// Thread-safe; each call takes a connection of its own. An endpoint that
/// cannot be reached is passed over for the next.
/// Errors of all calls: kUnavailable when nothing was changed;
/// kOutcomeUnknown when a write may or may not have taken effect;
/// kMalformedResponse for an answer that cannot be read.
class KvClient {
 public:
  explicit KvClient(KvOptions options);

  Result<KvRange> Range(const KvQuery& query) const;

  /// Carries out all writes if all expectations hold, else none.
  Result<KvTxnResult> Txn(absl::Span<const KvCondition> expects,
                          absl::Span<const KvWrite> writes) const;

  /// @return the lease's id
  Result<std::int64_t> GrantLease(absl::Duration ttl) const;

  /// Extends a lease. Errors also: kNotHeld when it has lapsed.
  Status KeepAlive(std::int64_t lease) const;

  /// Ends a lease and removes its keys.
  Status RevokeLease(std::int64_t lease) const;

  using OnEvents =
      std::function<void(absl::Span<const KvEvent>, std::int64_t revision)>;

  /// Watches a prefix from a revision on; returns when the watch ends.
  /// @param stop ends the watch when it is set and Stop is called on handle
  /// @param on_start takes the handle before the watch begins
  Failure Watch(
      std::string_view prefix, std::int64_t from_revision,
      const std::function<void(std::shared_ptr<KvWatchHandle>)>& on_start,
      const OnEvents& on_events) const;

  /// Calls made since the start, watches included.
  std::int64_t Calls() const { return this->calls; }

 private:
  Result<std::string> Call(std::string_view step, std::string_view path,
                           const std::string& body, bool writes) const;

  const KvOptions options;
  mutable std::atomic<std::size_t> preferred{0};
  mutable std::atomic<std::int64_t> calls{0};
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_STORE_KV_CLIENT_H_
