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

/// An in-memory stand-in for the store of the users' platform, with listings,
/// long-polling watches, transactions and leases. A lease expires only when a
/// test calls ExpireLeases. Thread-safe.
class PlatformStoreStandIn {
 public:
  PlatformStoreStandIn();
  ~PlatformStoreStandIn();

  Endpoint Address() const { return {"127.0.0.1", this->port}; }

  /// Writes a key without a lease, as an operator or a target does.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  /// While set, every listing and watch fails with status 503. A watch that
  /// waits goes on.
  void RejectReads(bool reject);
  /// What happens to transactions, unless said otherwise.
  enum class WriteFault {
    kNone,
    /// They, and the ends of leases, fail with status 503 and change nothing.
    kRefused,
    kAnswerLost,  ///< they are carried out, and their response is unreadable
    /// They are carried out by RunLateWrites, if their conditions hold then;
    /// their response is unreadable.
    kDoneLate,
  };
  void SetWriteFault(WriteFault fault);
  void RejectWrites(bool reject) {
    this->SetWriteFault(reject ? WriteFault::kRefused : WriteFault::kNone);
  }
  void RunLateWrites();

  /// Makes watches from before now fail with status 410.
  void DiscardHistory();

  /// Ends the leases whose TTL has passed since their last renewal, and
  /// deletes their keys.
  void ExpireLeases();
  /// Makes renewals of all present leases fail with status 404; their keys
  /// stay until ExpireLeases is called.
  void RejectRenewals();
  std::uint64_t Revision() const;
  /// The number of listings served.
  int Listings() const;
  /// The number of successful lease renewals.
  int Renewals() const;
  /// The lease that a key is attached to; 0 if there is none.
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
    absl::Time renewed_at;
  };
  struct Change {
    std::string key;
    Item item;
    bool deleted = false;
  };

  void PutLocked(const std::string& key, const std::string& value,
                 std::uint64_t lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  void DeleteLocked(const std::string& key)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  bool RejectsReads() const;
  std::string List(const std::string& prefix);
  bool HasHistory(std::uint64_t after) const;
  std::string Watch(const std::string& prefix, std::uint64_t after,
                    int wait_ms) const;
  int Transact(const std::string& body, std::string& response_body);
  int TransactLocked(const std::string& body, std::string& response_body)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  int EndLease(std::uint64_t lease);

  mutable absl::Mutex mutex;
  std::map<std::string, Item> items ABSL_GUARDED_BY(mutex);
  std::vector<Change> changes ABSL_GUARDED_BY(mutex);
  std::uint64_t revision ABSL_GUARDED_BY(mutex) = 1;
  std::uint64_t discarded_through ABSL_GUARDED_BY(mutex) = 0;
  std::uint64_t last_lease ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::uint64_t, Lease> leases ABSL_GUARDED_BY(mutex);
  std::uint64_t last_ended_lease ABSL_GUARDED_BY(mutex) = 0;
  int renewals ABSL_GUARDED_BY(mutex) = 0;
  int listings ABSL_GUARDED_BY(mutex) = 0;
  bool rejects_reads ABSL_GUARDED_BY(mutex) = false;
  WriteFault write_fault ABSL_GUARDED_BY(mutex) = WriteFault::kNone;
  std::vector<std::string> late_writes ABSL_GUARDED_BY(mutex);
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  std::unique_ptr<httplib::Server> server;
  int port = 0;
  std::unique_ptr<PeriodicWorker> worker;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_STORE_STAND_IN_H_
