#ifndef DRAGONFLYGLADE_GATEWAY_CRASHING_PART_RECORD_H_
#define DRAGONFLYGLADE_GATEWAY_CRASHING_PART_RECORD_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace dragonflyglade::gateway {

/// Why requests with a part of a prompt are refused. Kept in the store, one
/// record a part, so that it outlives all processes.
struct CrashingPartRecord {
  std::string by;                    ///< name of an instance or an operator
  absl::Time since;                  ///< by the writer's wall clock
  std::string why;                   ///< an operator's words; may be empty
  std::vector<std::string> crashes;  ///< the targets that crashed on the part
};

/// Encodes the record as JSON.
std::string EncodeCrashingPartRecord(const CrashingPartRecord& record);

/// What can be read of a record. The key alone names the part, so that an
/// unreadable value is in force, too.
CrashingPartRecord DecodeCrashingPartRecord(std::string_view text);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CRASHING_PART_RECORD_H_
