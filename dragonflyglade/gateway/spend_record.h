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

/// What one process spent of quotas in the window.
struct ProcessSpend {
  std::string instance;
  std::string incarnation;
  bool listed = false;                         ///< callers were sent to it
  std::map<std::string, std::int64_t> tokens;  ///< by workspace
};

/// What the fleet spent of quotas in the window, kept in the store for those
/// who sum up next: all processes may end at once.
struct SpendRecord {
  absl::Time written;  ///< by the time of day of the writer
  std::vector<ProcessSpend> processes;
};

/// Whether what was spent after it is little. A fleet that was killed is back
/// and has a holder within this time.
bool IsRecent(const SpendRecord& record, absl::Time now);

/// What all processes spent, by workspace, and a part more for what they may
/// have spent between the record and their end.
std::map<std::string, double, std::less<>> SpendingByWorkspace(
    const SpendRecord& record);

/// Whether callers were sent to the instance.
bool WasListed(const SpendRecord& record, std::string_view instance);

/// See SpendingByWorkspace.
inline constexpr double kUnrecordedSpendingShare = 0.3;

/// As compressed JSON: a few kilobytes for some tens of processes, which each
/// instance that follows the store reads at each change.
std::string EncodeSpendRecord(const SpendRecord& record);

/// Errors: kInvalidRecord.
Result<SpendRecord> DecodeSpendRecord(std::string_view packed);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_SPEND_RECORD_H_
