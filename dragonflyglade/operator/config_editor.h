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
  nlohmann::json value;  ///< null: delete
  /// The revision that the operator read; nothing: whatever is there now.
  std::optional<std::int64_t> expected_revision;
};

/// Reads record drafts: one JSON object or a list of them, each with kind,
/// schema, name and value.
/// Errors: kInvalidRecord, naming the draft and what is wrong with it.
Result<std::vector<RecordDraft>> ParseDrafts(std::string_view text);

/// A key that was granted. The secret is nowhere kept.
struct GrantedKey {
  CallerKey key;
  std::int64_t revision = 0;
};

/// Changes the records of the configuration on an operator's behalf.
///
/// Each change is one transaction that compares the revisions read before and
/// writes the audit entry as well, so a change without its entry, or half a
/// change, cannot be.
/// Errors: kConflict when another operator was first; kOutcomeUnknown when
/// the service did not say and could not be asked again.
class ConfigEditor {
 public:
  ConfigEditor(const KvClient& kv, std::string_view operator_name);

  /// Writes all drafts or none. Returns the revision.
  Result<std::int64_t> Apply(const std::vector<RecordDraft>& drafts,
                             std::string_view action);

  /// All stored versions of a record, the newest schema first.
  Result<std::vector<KvEntry>> Get(std::string_view kind,
                                   std::string_view name) const;

  /// Takes a schema version, and those before it, out of use.
  /// Errors also: kRefused when a record has no newer version.
  Result<std::int64_t> Retire(std::string_view kind, int schema);

  /// Creates a key for a workspace.
  Result<GrantedKey> GrantKey(std::string_view workspace);

  /// Withdraws a key for good.
  Result<std::int64_t> WithdrawKey(std::string_view id);

 private:
  Result<std::int64_t> CurrentRevision(const std::string& key) const;
  Result<std::int64_t> Commit(const std::vector<KvCondition>& expects,
                              std::vector<KvWrite> writes,
                              const std::string& audit_key);
  std::string AuditSegment(const std::vector<RecordDraft>& drafts,
                           std::string_view action) const;

  const KvClient& kv;
  const std::string operator_name;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_OPERATOR_CONFIG_EDITOR_H_
