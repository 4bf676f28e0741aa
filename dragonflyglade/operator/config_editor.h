#ifndef DRAGONFLYGLADE_OPERATOR_CONFIG_EDITOR_H_
#define DRAGONFLYGLADE_OPERATOR_CONFIG_EDITOR_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/operator/audit_trail.h"
#include "dragonflyglade/operator/caller_key.h"
#include "dragonflyglade/operator/records.h"
#include "dragonflyglade/store/kv_client.h"

namespace dragonflyglade {

/// A record that an operator wants to write.
struct RecordDraft {
  RecordKey key;
  nlohmann::json value;  ///< null deletes the record
  /// The record's revision that the operator read. Without one, the record is
  /// written whatever its present revision is.
  std::optional<std::int64_t> expected_revision;
};

/// Parses record drafts: one JSON object or a list of them, each with kind,
/// schema, name and value.
/// Errors: kInvalidRecord, naming the draft and its first problem.
Result<std::vector<RecordDraft>> ParseDrafts(std::string_view text);

/// A key that was granted. Its secret is stored nowhere.
struct GrantedKey {
  CallerKey key;
  std::int64_t revision = 0;
};

/// Changes configuration records on behalf of an operator.
///
/// Each change is one transaction, which compares the revisions read before and
/// also writes the audit entry. So a change is never partial and never lacks
/// its audit entry.
/// Errors: kConflict if another operator changed a record first;
/// kOutcomeUnknown if the response was lost and the outcome could not be read.
class ConfigEditor {
 public:
  ConfigEditor(const KvClient& kv, std::string_view operator_name);

  /// Writes all drafts or none.
  /// @param action the action's name in the audit trail
  /// @return the revision of the change
  Result<std::int64_t> Apply(const std::vector<RecordDraft>& drafts,
                             std::string_view action);

  /// Reads all stored schema versions of a record, the newest first.
  Result<std::vector<KvEntry>> Get(std::string_view kind,
                                   std::string_view name) const;

  /// Retires a schema version and all older ones.
  /// Errors also: kRefused if a record has no newer version.
  Result<std::int64_t> Retire(std::string_view kind, int schema);

  /// Creates a key for a workspace.
  Result<GrantedKey> GrantKey(std::string_view workspace);

  /// Withdraws a key permanently.
  Result<std::int64_t> WithdrawKey(std::string_view id);

 private:
  Result<std::int64_t> CurrentRevision(const std::string& key) const;
  Result<std::int64_t> Commit(const std::vector<KvCondition>& conditions,
                              std::vector<KvWrite> writes,
                              const std::string& audit_key);
  std::string AuditSegment(const std::vector<RecordDraft>& drafts,
                           std::string_view action) const;

  const KvClient& kv;
  const std::string operator_name;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_CONFIG_EDITOR_H_
