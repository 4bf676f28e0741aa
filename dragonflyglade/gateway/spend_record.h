#ifndef DRAGONFLYGLADE_GATEWAY_SPEND_RECORD_H_
#define DRAGONFLYGLADE_GATEWAY_SPEND_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade::gateway {

/// One process's quota spending in the window.
struct ProcessSpend {
  std::string instance;
  std::string incarnation;
  bool listed = false;  ///< whether callers were sent to it
  std::map<std::string, std::int64_t> tokens;  ///< by workspace
};

/// The fleet's quota spending in the window. It is kept in the store for the
/// next leader, since all processes may terminate at once.
struct SpendRecord {
  absl::Time written;  ///< by the writer's wall clock
  std::vector<ProcessSpend> processes;
};

/// Whether little can have been spent since the record was written. A fleet
/// whose processes were all killed is running again and has a leader within the
/// maximum age of a record.
bool IsRecent(const SpendRecord& record, absl::Time now);

/// The spending of all processes by workspace, increased by
/// kUnrecordedSpendingShare for what they may have spent between the record and
/// their termination.
std::map<std::string, double, std::less<>> SpendingByWorkspace(
    const SpendRecord& record);

/// Whether callers were sent to the instance when the record was written.
bool WasInstanceListed(const SpendRecord& record, std::string_view instance);

/// The number of instances that callers were sent to when it was written.
int CountListedInstances(const SpendRecord& record);

/// Fraction of the recorded tokens that is added for spending after the record.
inline constexpr double kUnrecordedSpendingShare = 0.3;

/// Encodes the record as compressed JSON: a few kilobytes for some tens of
/// processes, which each instance that watches the store reads at each change.
std::string EncodeSpendRecord(const SpendRecord& record);

/// Errors: kInvalidRecord.
Result<SpendRecord> DecodeSpendRecord(std::string_view packed);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_SPEND_RECORD_H_
