#ifndef DRAGONFLYGLADE_GATEWAY_INSTANCE_RECORD_H_
#define DRAGONFLYGLADE_GATEWAY_INSTANCE_RECORD_H_

#include <string>
#include <string_view>

#include "dragonflyglade/decision/failure.h"

namespace dragonflyglade::gateway {

/// An instance's entry in the store, attached to the instance's lease.
struct InstanceRecord {
  std::string name;
  std::string zone;            ///< availability zone
  std::string caller_address;  ///< address for callers
  std::string peer_address;    ///< address for other instances
  std::string incarnation;     ///< differs for each start of the process
  double capacity = 0;         ///< see InstanceCapacity
};

std::string EncodeInstanceRecord(const InstanceRecord& record);

/// Errors: kInvalidRecord.
Result<InstanceRecord> DecodeInstanceRecord(std::string_view text);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_INSTANCE_RECORD_H_
