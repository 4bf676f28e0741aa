#ifndef DRAGONFLYGLADE_GATEWAY_VERSION_RECORD_H_
#define DRAGONFLYGLADE_GATEWAY_VERSION_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/failure.h"
#include "dragonflyglade/decision/stream_versions.h"

namespace dragonflyglade::gateway {

/// A software version that all targets of a service have.
struct SingleVersion {
  SoftwareVersion version;
  absl::Time since;  ///< by the writer's wall clock
  /// The revision of the store up to which the writer knew the targets.
  std::uint64_t known_through = 0;
};

/// The services whose targets all have the same software version. It is kept in
/// the store, since all processes may terminate at once: the next ones could
/// not know otherwise that no stream began at another version. The store's
/// history shows what has served since the record was written.
using VersionRecord = std::map<std::string, SingleVersion, std::less<>>;

/// Encodes the record as JSON.
std::string EncodeVersionRecord(const VersionRecord& record);

/// Errors: kInvalidRecord.
Result<VersionRecord> DecodeVersionRecord(std::string_view text);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_VERSION_RECORD_H_
