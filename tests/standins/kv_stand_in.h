#ifndef DRAGONFLYGLADE_TESTS_STANDINS_KV_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_STANDINS_KV_STAND_IN_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/net/http_server.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// A key-value service with the API of etcd's JSON gateway, which fails when a
/// test tells it to.
class KvStandIn {
 public:
  KvStandIn();
  ~KvStandIn();

  /// @return the endpoint at which it listens
  Endpoint Start();

  /// While unavailable, no call is executed and every response is cut short.
  void SetUnavailable(bool unavailable);
  /// Delays the execution of every call except watches.
  void SetDelay(absl::Duration delay);
  /// Drops the responses to the next transactions after they took effect.
  void DropResponses(int count);
  /// Makes the watches open now deliver nothing more, although they stay open.
  void StallWatches();
  /// Ends all leases, as if their TTL had passed, and removes their keys.
  void ExpireAllLeases();

  /// Writes a key without a lease, as an operator may.
  std::int64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Value(const std::string& key) const;
  std::vector<KvEntry> Entries(const std::string& prefix) const;
  std::int64_t Writes() const;
  std::int64_t Reads() const;
  int OpenWatches() const;

 private:
  struct Version {
    KvEntry entry;
    bool deleted = false;
  };
  struct OpenWatch {
    std::string from;
    std::string to;
    std::int64_t next_revision = 0;
    std::int64_t number = 0;
  };

  std::string Handle(const std::string& path, const nlohmann::json& request);
  nlohmann::json Range(const nlohmann::json& request)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  nlohmann::json Txn(const nlohmann::json& request)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  nlohmann::json Header() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void PutLocked(const std::string& key, const std::string& value,
                 std::int64_t lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void RemoveLocked(const std::string& key)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void ExpireLeases() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  bool NextWatchMessage(OpenWatch& watch, std::string& line);

  HttpServer server;
  mutable absl::Mutex mutex;
  bool unavailable ABSL_GUARDED_BY(mutex) = false;
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  absl::Duration delay ABSL_GUARDED_BY(mutex);
  int responses_to_drop ABSL_GUARDED_BY(mutex) = 0;
  std::int64_t first_unstalled_watch ABSL_GUARDED_BY(mutex) = 0;
  std::int64_t revision ABSL_GUARDED_BY(mutex) = 1;
  std::int64_t writes ABSL_GUARDED_BY(mutex) = 0;
  std::int64_t reads ABSL_GUARDED_BY(mutex) = 0;
  std::int64_t next_lease ABSL_GUARDED_BY(mutex) = 1000;
  std::int64_t next_watch ABSL_GUARDED_BY(mutex) = 1;
  int open_watches ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::int64_t, absl::Time> leases ABSL_GUARDED_BY(mutex);
  std::map<std::int64_t, absl::Duration> lease_ttls ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::vector<Version>> keys ABSL_GUARDED_BY(mutex);
  std::vector<Version> change_log ABSL_GUARDED_BY(mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_STANDINS_KV_STAND_IN_H_
