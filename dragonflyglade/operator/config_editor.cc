#include "dragonflyglade/operator/config_editor.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>
#include <utility>

#include "absl/time/clock.h"
#include "dragonflyglade/decision/json_text.h"

namespace dragonflyglade {
namespace {

using nlohmann::json;

constexpr const char* kConfigurationPeer = "configuration";
constexpr std::size_t kMaxDrafts = 100;
constexpr int kReadBackAttempts = 5;
constexpr absl::Duration kReadBackInterval = absl::Milliseconds(300);
constexpr std::size_t kAuditSuffixBytes = 4;

Failure InvalidDraft(std::string_view problem) {
  return MakeFailure(Errc::kInvalidRecord, "read drafts", kConfigurationPeer,
                     problem);
}

Result<RecordDraft> ParseDraft(const json& item, std::size_t index) {
  const std::string position = fmt::format("record {}", index + 1);
  if (!item.is_object()) {
    return InvalidDraft(position + ": expected an object; found " +
                        item.dump());
  }
  for (const auto& [field, value] : item.items()) {
    static const std::set<std::string> kKnown = {"kind", "schema", "name",
                                                 "value"};
    if (kKnown.count(field) > 0) continue;
    return InvalidDraft(fmt::format(
        "{}.{}: expected only kind, schema, name, value", position, field));
  }
  const bool has_fields =
      item.contains("kind") && item.at("kind").is_string() &&
      item.contains("name") && item.at("name").is_string() &&
      item.contains("schema") && item.at("schema").is_number_integer() &&
      item.contains("value");
  if (!has_fields) {
    return InvalidDraft(
        position +
        ": expected kind and name as strings, schema as a number, "
        "and value");
  }
  RecordDraft draft;
  draft.key = RecordKey{item.at("kind"), item.at("schema"), item.at("name")};
  draft.value = item.at("value");
  const std::vector<std::string> kinds = RecordKinds();
  if (std::find(kinds.begin(), kinds.end(), draft.key.kind) == kinds.end()) {
    return InvalidDraft(fmt::format("{}.kind: expected one of {}; found {}",
                                    position, fmt::join(kinds, ", "),
                                    draft.key.kind));
  }
  const Result<RecordKey> key = ParseRecordKey(draft.key.ToString());
  if (!key.Ok()) return InvalidDraft(position + ": " + key.Error().detail);
  if (draft.value.is_null()) return draft;
  const Result<Record> record = ParseRecord(draft.key, draft.value.dump());
  if (!record.Ok()) {
    return InvalidDraft(fmt::format(
        "{} ({}): {}", position, draft.key.ToString(), record.Error().detail));
  }
  return draft;
}

}  // namespace

Result<std::vector<RecordDraft>> ParseDrafts(std::string_view text) {
  json document = ParseJsonOrDiscard(text);
  if (document.is_discarded()) return InvalidDraft("expected JSON");
  if (!document.is_array()) document = json::array({document});
  if (document.empty()) return InvalidDraft("expected at least one record");
  if (document.size() > kMaxDrafts) {
    return InvalidDraft(fmt::format("expected at most {} records; found {}",
                                    kMaxDrafts, document.size()));
  }
  std::vector<RecordDraft> drafts;
  std::set<std::string> keys;
  for (std::size_t i = 0; i < document.size(); ++i) {
    const Result<RecordDraft> draft = ParseDraft(document[i], i);
    if (!draft.Ok()) return draft.Error();
    if (!keys.insert(draft.Value().key.ToString()).second) {
      return InvalidDraft(draft.Value().key.ToString() + ": stands twice");
    }
    drafts.push_back(draft.Value());
  }
  return drafts;
}

ConfigEditor::ConfigEditor(const KvClient& kv, std::string_view operator_name)
    : kv(kv), operator_name(operator_name) {}

Result<std::int64_t> ConfigEditor::CurrentRevision(
    const std::string& key) const {
  KvQuery query;
  query.key = key;
  const Result<KvRange> range = this->kv.Range(query);
  if (!range.Ok()) return range.Error();
  if (range.Value().entries.empty()) return std::int64_t{0};
  return range.Value().entries.front().mod_revision;
}

std::string ConfigEditor::AuditSegment(const std::vector<RecordDraft>& drafts,
                                       std::string_view action) const {
  json entries = json::array();
  for (const RecordDraft& draft : drafts) {
    AuditEntry entry;
    entry.time = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(),
                                  absl::UTCTimeZone());
    entry.actor = this->operator_name;
    entry.action = std::string(action);
    entry.subject = draft.key.ToString();
    entry.detail = {{"value", draft.value}};
    entries.push_back(EncodeAuditEntry(entry));
  }
  return entries.dump();
}

// Failure: the response to the write is lost, and the operator who repeats the
// command gets a conflict with the first attempt. The audit segment has a key
// of its own and is written in the same transaction, so its presence shows
// whether the change took effect.
Result<std::int64_t> ConfigEditor::Commit(
    const std::vector<KvCondition>& conditions, std::vector<KvWrite> writes,
    const std::string& audit_key) {
  const Result<KvTxnResult> reply = this->kv.Txn(conditions, writes);
  if (reply.Ok()) {
    if (reply.Value().succeeded) return reply.Value().revision;
    std::vector<std::string> changed;
    for (const KvCondition& condition : conditions) {
      const auto& found = reply.Value().found;
      const auto entry = std::find_if(
          found.begin(), found.end(),
          [&](const KvEntry& e) { return e.key == condition.key; });
      const std::int64_t revision =
          entry == found.end() ? 0 : entry->mod_revision;
      if (revision == condition.mod_revision) continue;
      changed.push_back(fmt::format("{} is at revision {}, expected {}",
                                    condition.key, revision,
                                    condition.mod_revision));
    }
    return MakeFailure(Errc::kConflict, "apply", "kv",
                       fmt::format("{}", fmt::join(changed, "; ")));
  }
  if (reply.Error().code != Errc::kOutcomeUnknown) return reply.Error();
  for (int attempt = 0; attempt < kReadBackAttempts; ++attempt) {
    KvQuery query;
    query.key = audit_key;
    const Result<KvRange> range = this->kv.Range(query);
    if (range.Ok() && !range.Value().entries.empty()) {
      return range.Value().entries.front().mod_revision;
    }
    absl::SleepFor(kReadBackInterval);
  }
  return MakeFailure(Errc::kOutcomeUnknown, "apply", "kv",
                     "look with 'config get' before trying again");
}

Result<std::int64_t> ConfigEditor::Apply(const std::vector<RecordDraft>& drafts,
                                         std::string_view action) {
  std::vector<KvCondition> conditions;
  std::vector<KvWrite> writes;
  for (const RecordDraft& draft : drafts) {
    const std::string key = draft.key.ToString();
    std::int64_t expected = draft.expected_revision.value_or(0);
    if (!draft.expected_revision.has_value()) {
      const Result<std::int64_t> current = this->CurrentRevision(key);
      if (!current.Ok()) return current;
      expected = current.Value();
    }
    conditions.push_back(KvCondition{key, expected});
    writes.push_back(
        KvWrite{key, draft.value.dump(), 0, draft.value.is_null()});
  }
  const std::string audit_key = fmt::format(
      "{}{}/{:020}-{}", kAuditPrefix, this->operator_name,
      absl::ToUnixMicros(absl::Now()), RandomHex(kAuditSuffixBytes));
  writes.push_back(
      KvWrite{audit_key, this->AuditSegment(drafts, action), 0, false});
  return this->Commit(conditions, std::move(writes), audit_key);
}

Result<std::vector<KvEntry>> ConfigEditor::Get(std::string_view kind,
                                               std::string_view name) const {
  std::vector<KvEntry> found;
  for (int schema = NewestSchema(kind); schema > 0; --schema) {
    KvQuery query;
    query.key =
        RecordKey{std::string(kind), schema, std::string(name)}.ToString();
    const Result<KvRange> range = this->kv.Range(query);
    if (!range.Ok()) return range.Error();
    for (const KvEntry& entry : range.Value().entries) found.push_back(entry);
  }
  if (!found.empty()) return found;
  return MakeFailure(Errc::kUnknownRecord, "get", kConfigurationPeer,
                     fmt::format("{} {}", kind, name));
}

Result<std::int64_t> ConfigEditor::Retire(std::string_view kind, int schema) {
  if (schema < 1 || schema >= NewestSchema(kind)) {
    return MakeFailure(
        Errc::kInvalidArgument, "retire", kConfigurationPeer,
        fmt::format("expected a schema of {} before its newest, v{}", kind,
                    NewestSchema(kind)));
  }
  std::set<std::string> old_names;
  std::set<std::string> new_names;
  for (int version = 1; version <= NewestSchema(kind); ++version) {
    KvQuery query;
    query.key = fmt::format("{}{}/v{}/", kConfigPrefix, kind, version);
    query.prefix = true;
    const Result<KvRange> range = this->kv.Range(query);
    if (!range.Ok()) return range.Error();
    for (const KvEntry& entry : range.Value().entries) {
      const Result<RecordKey> key = ParseRecordKey(entry.key);
      if (!key.Ok()) continue;
      (version <= schema ? old_names : new_names).insert(key.Value().name);
    }
  }
  std::vector<std::string> unmigrated_names;
  std::set_difference(old_names.begin(), old_names.end(), new_names.begin(),
                      new_names.end(), std::back_inserter(unmigrated_names));
  if (!unmigrated_names.empty()) {
    return MakeFailure(Errc::kRefused, "retire", kConfigurationPeer,
                       fmt::format("without a newer version: {}",
                                   fmt::join(unmigrated_names, ", ")));
  }
  RecordDraft draft;
  draft.key = RecordKey{"retirement", 1, std::string(kind)};
  draft.value = {{"retired_up_to", schema}};
  return this->Apply({draft}, "config retire");
}

Result<GrantedKey> ConfigEditor::GrantKey(std::string_view workspace) {
  const Result<std::vector<KvEntry>> known = this->Get("workspace", workspace);
  if (!known.Ok()) return known.Error();
  GrantedKey granted;
  granted.key = NewCallerKey();
  const std::string salt = NewSalt();
  RecordDraft draft;
  draft.key = RecordKey{"key", 1, granted.key.id};
  draft.value = {{"workspace", std::string(workspace)},
                 {"salt", salt},
                 {"digest", SaltedDigest(salt, granted.key.secret)}};
  draft.expected_revision = 0;
  const Result<std::int64_t> revision = this->Apply({draft}, "key grant");
  if (!revision.Ok()) return revision.Error();
  granted.revision = revision.Value();
  return granted;
}

Result<std::int64_t> ConfigEditor::WithdrawKey(std::string_view id) {
  const Result<std::vector<KvEntry>> stored = this->Get("key", id);
  if (!stored.Ok()) return stored.Error();
  const KvEntry& entry = stored.Value().front();
  json value = ParseJsonOrDiscard(entry.value);
  if (!value.is_object()) {
    return MakeFailure(Errc::kInvalidRecord, "withdraw", kConfigurationPeer,
                       entry.key + " is not a key record");
  }
  value["withdrawn"] = true;
  RecordDraft draft;
  draft.key = RecordKey{"key", 1, std::string(id)};
  draft.value = std::move(value);
  draft.expected_revision = entry.mod_revision;
  return this->Apply({draft}, "key withdraw");
}

}  // namespace dragonflyglade
