#ifndef DRAGONFLYGLADE_GATEWAY_STORE_TYPES_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"

namespace dragonflyglade::gateway {

/// A key of the store with its value.
struct StoreItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;  ///< of its last change
  std::uint64_t lease = 0;     ///< 0: none
};

/// A change that a watch returns.
struct StoreEvent {
  StoreItem item;
  bool deleted = false;
};

/// A page of a listing.
struct StorePage {
  std::vector<StoreItem> items;
  bool truncated = false;
  std::uint64_t store_revision = 0;
};

/// The changes after a revision. The next watch starts after store_revision.
struct StoreEvents {
  std::vector<StoreEvent> events;
  std::uint64_t store_revision = 0;
};

/// A condition of a transaction.
struct StorePrecondition {
  std::string key;
  std::uint64_t revision = 0;  ///< 0: the key does not exist
};

/// A write of a transaction.
struct StorePut {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
};

/// Writes that take effect together, and only if all conditions hold.
struct StoreTransaction {
  std::vector<StorePrecondition> preconditions;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;
};

/// Reads one page of the keys with a prefix.
struct StoreList {
  std::string prefix;
  std::string after;  ///< last key of the previous page; empty: first page
};
/// Waits for changes of the keys with a prefix.
struct StoreWatch {
  std::string prefix;
  std::uint64_t after = 0;  ///< revision
  absl::Duration wait;      ///< how long the store holds the call
};
/// Requests a new lease.
struct StoreLeaseGrant {
  absl::Duration ttl;
};
/// Extends a lease.
struct StoreLeaseRenewal {
  std::uint64_t lease = 0;
};
/// Revokes a lease.
struct StoreLeaseRevoke {
  std::uint64_t lease = 0;
};
using StoreCall =
    std::variant<StoreList, StoreWatch, StoreTransaction, StoreLeaseGrant,
                 StoreLeaseRenewal, StoreLeaseRevoke>;

/// The transaction was committed.
struct StoreCommitted {
  std::uint64_t revision = 0;
};
/// The lease was granted or renewed.
struct StoreLease {
  std::uint64_t lease = 0;  ///< 0 in the response to a renewal
  absl::Duration ttl;
};
/// A condition did not hold; nothing was written.
struct StoreConflict {};
/// The lease does not exist.
struct StoreLeaseNotFound {};
/// The history since the revision has been compacted; the store must be listed
/// again.
struct StoreCompacted {};
/// The store did not execute the call: it is busy, limits the rate of calls, or
/// rejected the call.
struct StoreRefused {
  int status = 0;
};
/// There is no readable response; the call may have been executed.
struct StoreOutcomeUnknown {
  std::string detail;
};
using StoreResponse =
    std::variant<StorePage, StoreEvents, StoreCommitted, StoreLease,
                 StoreConflict, StoreLeaseNotFound, StoreCompacted,
                 StoreRefused, StoreOutcomeUnknown>;

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_TYPES_H_
