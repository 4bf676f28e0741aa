#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_STORE_STAND_IN_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/net/periodic_worker.h"

namespace httplib {
class Server;
}

namespace dragonflyglade {

/// The users' platform's store in memory: listings, watches, transactions and
/// leases that end only when told.
class PlatformStoreStandIn {
 public:
  PlatformStoreStandIn();
  ~PlatformStoreStandIn();

  Endpoint Address() const { return {"127.0.0.1", this->port}; }

  /// Writes as the operator or a target does.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  /// Whether transactions are answered 503, and nothing is done.
  void RejectWrites(bool away);

  /// Ends the leases that were not renewed in their time, with their keys.
  void ExpireLeases();
  /// All leases end, as far as renewals show; their keys stay for a while.
  void RejectRenewals();
  /// Listings that were answered.
  int Listings() const;
  /// Renewals that were answered with success.
  int Renewals() const;
  /// The lease that a key is under; 0 if there is none.
  std::uint64_t LeaseOf(const std::string& key) const;

  /// The value of a key; empty if there is none.
  std::string Get(const std::string& key) const;
  std::vector<std::string> Keys(const std::string& prefix) const;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    absl::Duration ttl;
    absl::Time renewed;
  };
  struct Change {
    std::string key;
    Item item;
    bool deleted = false;
  };

  void Record(const std::string& key, const std::string& value,
              std::uint64_t lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void Remove(const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  std::string List(const std::string& prefix);
  std::string Watch(const std::string& prefix, std::uint64_t after,
                    int wait_ms) const;
  int Transact(const std::string& body, std::string& answer);

  mutable absl::Mutex mutex;
  std::map<std::string, Item> items ABSL_GUARDED_BY(mutex);
  std::vector<Change> changes ABSL_GUARDED_BY(mutex);
  std::uint64_t revision ABSL_GUARDED_BY(mutex) = 1;
  std::uint64_t leases ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::uint64_t, Lease> granted ABSL_GUARDED_BY(mutex);
  std::uint64_t ended_leases ABSL_GUARDED_BY(mutex) = 0;
  int renewals ABSL_GUARDED_BY(mutex) = 0;
  int listings ABSL_GUARDED_BY(mutex) = 0;
  bool writes_turned_away ABSL_GUARDED_BY(mutex) = false;
  bool closing ABSL_GUARDED_BY(mutex) = false;
  std::unique_ptr<httplib::Server> server;
  int port = 0;
  std::unique_ptr<PeriodicWorker> worker;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_STORE_STAND_IN_H_
