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

/// One change, made by an operator or by an instance.
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

/// The key prefix of all segments in the key-value service.
inline constexpr std::string_view kAuditPrefix = "audit/";

/// Reads the entries of all writers, oldest first.
/// Errors: those of KvClient; kMalformedResponse for a malformed segment.
Result<std::vector<AuditEntry>> ReadAuditTrail(const KvClient& kv);

/// Appends entries to one writer's own segments in the key-value service.
///
/// A segment is a key with a list of entries. Segments are bounded in size, and
/// a writer keeps only its newest ones, so the trail cannot fill the service.
/// Thread-safe.
class AuditTrail {
 public:
  /// @param writer part of the segments' keys, so that writers never collide
  AuditTrail(const KvClient& kv, std::string_view writer);

  /// Adds an entry, which the next Flush writes.
  void Add(std::string_view action, std::string_view subject,
           nlohmann::json detail);

  /// Writes pending entries, as many as fit into a segment. After a failure
  /// they stay pending; an entry may then be written twice, but none is lost.
  Status Flush();

  /// The number of entries that are not written yet.
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
