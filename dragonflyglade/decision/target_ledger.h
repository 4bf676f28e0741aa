#ifndef DRAGONFLYGLADE_DECISION_TARGET_LEDGER_H_
#define DRAGONFLYGLADE_DECISION_TARGET_LEDGER_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade {

/// State of a copy of a model or adapter at a target.
enum class CopyState {
  kLoading,    ///< load ordered, not confirmed
  kLoaded,     ///< load confirmed
  kUnloading,  ///< unload ordered, not confirmed
  kUncertain,  ///< unload confirmed, but a load order may still arrive
};

/// A copy of a model or adapter in a target's ledger. Its bytes are reserved in
/// every state.
struct LedgerCopy {
  std::string name;
  std::string version;
  std::string base;  ///< the model of an adapter; empty for a model
  std::int64_t bytes = 0;
  CopyState state = CopyState::kLoading;
  /// Ids of load orders whose outcome is unknown.
  std::vector<std::string> open_loads;
  /// Whether the load was ordered more than once, so that an earlier order may
  /// have loaded the copy.
  bool repeated = false;
  /// Whether its open loads were ordered before the target's last restart.
  bool loads_predate_restart = false;
  /// Highest fencing token of its load orders.
  std::int64_t load_fence_token = 0;
  std::string order_id;  ///< of the newest order

  bool operator==(const LedgerCopy&) const = default;
};

/// The memory that is reserved at one target, and for what. Stored in the
/// key-value service and changed by compare-and-swap before an order is sent.
struct TargetLedger {
  std::string target;
  std::int64_t capacity = 0;     ///< bytes of accelerator memory
  std::int64_t fence_token = 0;  ///< of the last planner that wrote
  std::string boot_id;           ///< of the target process that has the copies
  std::int64_t orders = 0;  ///< number of orders so far, for the next order id
  std::vector<LedgerCopy> copies;

  bool operator==(const TargetLedger&) const = default;
};

/// Bytes reserved at a target.
std::int64_t ReservedBytes(const TargetLedger& ledger);

/// The copy with that name, or null.
const LedgerCopy* FindCopy(const TargetLedger& ledger, std::string_view name);

/// A model or adapter to load.
struct CopySpec {
  std::string name;
  std::string version;
  std::string base;
  std::int64_t bytes = 0;
};

/// Reserves memory for a load and records its order. Errors: kRefused if the
/// copy does not fit or is in the ledger already; kNotHeld if a planner with a
/// higher fencing token wrote to the ledger.
Status BeginLoad(TargetLedger& ledger, const CopySpec& spec,
                 std::int64_t fence_token);

/// Records another order for a load that was not confirmed. Errors: kRefused if
/// there is no such copy; kNotHeld as for BeginLoad.
Status RepeatLoad(TargetLedger& ledger, std::string_view name,
                  std::int64_t fence_token);

/// Records an order to unload. Errors: kUnknownRecord if there is no such copy;
/// kNotHeld as for BeginLoad.
Status BeginUnload(TargetLedger& ledger, std::string_view name,
                   std::int64_t fence_token);

/// Records an order that changes the target's role; it reserves no memory.
/// @return the order's id. Errors: kNotHeld as for BeginLoad.
Result<std::string> BeginRoleChange(TargetLedger& ledger,
                                    std::int64_t fence_token);

/// A target's response to an order.
struct OrderOutcome {
  std::string order_id;
  std::string name;
  std::int64_t fence_token = 0;
  bool done = false;
  std::string boot_id;
};

/// Applies the response to a load order. Idempotent.
/// @param fenced whether the target refuses orders with a lower fencing token
///   than the highest one it has seen
void FinishLoad(TargetLedger& ledger, const OrderOutcome& outcome, bool fenced);

/// Applies the response to an unload order. Idempotent.
/// @param fenced as for FinishLoad
void FinishUnload(TargetLedger& ledger, const OrderOutcome& outcome,
                  bool fenced);

/// Applies a target's report of the models and adapters in its memory.
/// @param made_after_newest_order whether the report was made after the newest
///   order was recorded; other reports are ignored
void ApplyResidencyReport(TargetLedger& ledger, std::string_view boot_id,
                          const std::set<std::string>& resident,
                          bool made_after_newest_order);

/// Reserves memory for a copy that a target reported although no order loaded
/// it: it was loaded before the ledger existed. Does nothing if the ledger has
/// a copy with that name.
void AddUnorderedCopy(TargetLedger& ledger, const CopySpec& spec);

/// Encodes a ledger as JSON.
std::string EncodeLedger(const TargetLedger& ledger);
/// Decodes a ledger. Errors: kMalformedResponse if the text is not a valid
/// ledger.
Result<TargetLedger> DecodeLedger(std::string_view text);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_LEDGER_H_
