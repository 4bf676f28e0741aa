#ifndef DRAGONFLYGLADE_DECISION_TARGET_LEDGER_H_
#define DRAGONFLYGLADE_DECISION_TARGET_LEDGER_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade {

/// Where a model or adapter stands at a target.
enum class CopyState {
  kLoading,    ///< ordered; not confirmed
  kLoaded,     ///< confirmed
  kUnloading,  ///< ordered out; not confirmed
  kUncertain,  ///< unloaded, but an earlier load order may still arrive
};

/// A model or adapter in a target's ledger. Its bytes are booked in every
/// state.
struct LedgerCopy {
  std::string name;
  std::string version;
  std::string base;  ///< the model of an adapter; empty for a model
  std::int64_t bytes = 0;
  CopyState state = CopyState::kLoading;
  /// Ids of load orders whose fate is not known.
  std::vector<std::string> open_loads;
  /// Whether it may be in memory by an earlier load than the open one.
  bool repeated = false;
  /// Whether its open loads were sent before the target's last restart.
  bool loads_predate_restart = false;
  std::int64_t load_fence_token = 0;  ///< the highest fence of its load orders
  std::string order_id;               ///< of the newest order
};

/// What is booked at one target. Kept in the key-value service and changed by
/// compare-and-swap before an order is sent.
struct TargetLedger {
  std::string target;
  std::int64_t capacity = 0;  ///< bytes of accelerator memory
  std::int64_t fence = 0;     ///< of the newest planner that wrote
  std::string boot_id;        ///< the process that the entries belong to
  std::int64_t orders = 0;    ///< orders made so far; numbers the next
  std::vector<LedgerCopy> copies;
};

/// Bytes booked at a target.
std::int64_t ReservedBytes(const TargetLedger& ledger);

/// The copy of a name, or null.
const LedgerCopy* FindCopy(const TargetLedger& ledger, std::string_view name);

/// What is to be loaded.
struct CopySpec {
  std::string name;
  std::string version;
  std::string base;
  std::int64_t bytes = 0;
};

/// Books a load. Errors: kRefused if it does not fit or stands there already;
/// kNotHeld if a newer planner wrote.
Status BeginLoad(TargetLedger& ledger, const CopySpec& spec,
                 std::int64_t fence);

/// Books another order for a load that was not confirmed.
Status RepeatLoad(TargetLedger& ledger, std::string_view name,
                  std::int64_t fence);

/// Books an unload. Errors: kUnknownRecord, kNotHeld.
Status BeginUnload(TargetLedger& ledger, std::string_view name,
                   std::int64_t fence);

/// Numbers an order that changes the target's role; it books no memory.
/// @return the order's id. Errors: kNotHeld if a newer planner wrote.
Result<std::string> BeginRoleChange(TargetLedger& ledger, std::int64_t fence);

/// The answer to an order.
struct OrderOutcome {
  std::string order_id;
  std::string name;
  std::int64_t fence = 0;
  bool done = false;
  std::string boot_id;
};

/// Takes the answer to a load order. Taking it twice changes nothing more.
/// @param fenced whether the target refuses orders with an old fence
void FinishLoad(TargetLedger& ledger, const OrderOutcome& outcome, bool fenced);

/// Takes the answer to an unload order. Taking it twice changes nothing more.
void FinishUnload(TargetLedger& ledger, const OrderOutcome& outcome,
                  bool fenced);

/// Takes what the target reported to be in its memory.
/// @param after_booking whether the report was made after the newest order
///   was booked
void TakeReport(TargetLedger& ledger, std::string_view boot_id,
                const std::set<std::string>& resident, bool after_booking);

/// Books what a target reported although nothing was ordered: it was loaded
/// before the ledger began. Does nothing if the name stands there already.
void AddUnorderedCopy(TargetLedger& ledger, const CopySpec& spec);

/// The ledger as JSON.
std::string EncodeLedger(const TargetLedger& ledger);
/// Errors: kMalformedResponse.
Result<TargetLedger> DecodeLedger(std::string_view text);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_TARGET_LEDGER_H_
