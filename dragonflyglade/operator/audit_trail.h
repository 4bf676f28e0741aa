#ifndef DRAGONFLYGLADE_OPERATOR_AUDIT_TRAIL_H_
#define DRAGONFLYGLADE_OPERATOR_AUDIT_TRAIL_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// One change, made by an operator or by the system itself.
struct AuditEntry {
  std::string time;     ///< UTC, RFC 3339
  std::string actor;    ///< an operator's name or an instance's
  std::string action;   ///< e.g. "config apply"
  std::string subject;  ///< e.g. a record's key
  nlohmann::json detail;
};

nlohmann::json EncodeAuditEntry(const AuditEntry& entry);
/// Throws nlohmann::json::exception for anything malformed.
AuditEntry DecodeAuditEntry(const nlohmann::json& object);

/// The prefix of all segments.
inline constexpr std::string_view kAuditPrefix = "audit/";

/// Reads a whole trail, oldest first.
Result<std::vector<AuditEntry>> ReadAuditTrail(const KvClient& kv);

/// Appends entries to one writer's own segments in the key-value service.
///
/// Segments are bounded in size, and a writer keeps the newest few, so the
/// trail cannot outgrow the service. Thread-safe.
class AuditTrail {
 public:
  /// @param writer separates the segments of writers, so they never collide
  AuditTrail(const KvClient& kv, std::string_view writer);

  /// Adds an entry to write with the next Flush.
  void Add(std::string_view action, std::string_view subject,
           nlohmann::json detail);

  /// Writes what was added. After a failure the entries stay for the next
  /// flush; an entry may then stand twice, but none is lost.
  Status Flush();

  /// Entries that wait to be written.
  std::size_t Pending() const;

 private:
  std::string SegmentKey(std::int64_t number) const;

  const KvClient& kv;
  const std::string writer;
  mutable absl::Mutex mutex;
  std::vector<AuditEntry> pending ABSL_GUARDED_BY(mutex);
  absl::Mutex flush_mutex;
  nlohmann::json segment ABSL_GUARDED_BY(flush_mutex) = nlohmann::json::array();
  std::int64_t number ABSL_GUARDED_BY(flush_mutex);
  std::int64_t first_kept ABSL_GUARDED_BY(flush_mutex);
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_AUDIT_TRAIL_H_
