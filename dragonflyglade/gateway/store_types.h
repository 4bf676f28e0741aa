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

/// A change that a watch tells of.
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

/// The changes since a revision; go on from store_revision.
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

/// All or nothing.
struct StoreTransaction {
  std::vector<StorePrecondition> expected;
  std::vector<StorePut> puts;
  std::vector<std::string> deletes;
};

/// The calls to the store.
struct StoreList {
  std::string prefix;
  std::string after;  ///< the last key of the page before; empty: the first
};
struct StoreWatch {
  std::string prefix;
  std::uint64_t after = 0;
  absl::Duration wait;
};
struct StoreLeaseGrant {
  absl::Duration ttl;
};
struct StoreLeaseRenewal {
  std::uint64_t lease = 0;
};
struct StoreLeaseRevoke {
  std::uint64_t lease = 0;
};
using StoreCall =
    std::variant<StoreList, StoreWatch, StoreTransaction, StoreLeaseGrant,
                 StoreLeaseRenewal, StoreLeaseRevoke>;

/// The answers of the store.
struct StoreCommitted {
  std::uint64_t revision = 0;
};
struct StoreLease {
  std::uint64_t lease = 0;  ///< 0 in the answer to a renewal
  absl::Duration ttl;
};
/// A condition did not hold; nothing was written.
struct StoreConflict {};
/// No such lease.
struct StoreLeaseNotFound {};
/// The history since the revision is no longer kept: list again.
struct StoreCompacted {};
/// The store says that it did nothing: busy, too many calls or refused.
struct StoreRefused {
  int status = 0;
};
/// No answer, or none that can be read: it may have been carried out.
struct StoreOutcomeUnknown {
  std::string detail;
};
using StoreResponse =
    std::variant<StorePage, StoreEvents, StoreCommitted, StoreLease,
                 StoreConflict, StoreLeaseNotFound, StoreCompacted,
                 StoreRefused, StoreOutcomeUnknown>;

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_TYPES_H_
