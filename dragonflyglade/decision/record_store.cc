#include "dragonflyglade/decision/record_store.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {
namespace {

std::int64_t RevisionOf(const std::optional<RecordVersion>& version) {
  return version.has_value() ? version->revision : 0;
}

}  // namespace

RecordStore::RecordStore(Validator validator)
    : validator(std::move(validator)) {}

// Failure: a re-read served by a lagging replica, or a peer that restarted from
// an older copy, delivers an old version of a record, and a withdrawn key works
// again. Comparing the record's own revision refuses old versions on every
// path, since the key-value service never assigns a revision twice.
ApplyResult RecordStore::ApplyVersion(const RecordVersion& version) {
  std::optional<std::string> reason;
  if (!version.deleted) reason = this->validator(version);
  absl::MutexLock lock(&this->mutex);
  Entry& entry = this->entries[version.key];
  const std::int64_t valid = RevisionOf(entry.valid);
  const std::int64_t rejected = RevisionOf(entry.rejected);
  if (version.revision <= valid) return ApplyResult::kStale;
  if (reason.has_value()) {
    if (version.revision <= rejected) return ApplyResult::kStale;
    entry.rejected = version;
    entry.reason = *reason;
    return ApplyResult::kRejected;
  }
  entry.valid = version;
  if (rejected < version.revision) entry.rejected.reset();
  return ApplyResult::kApplied;
}

void RecordStore::MarkCompleteThrough(std::int64_t revision) {
  absl::MutexLock lock(&this->mutex);
  this->complete_revision = std::max(this->complete_revision, revision);
}

std::int64_t RecordStore::CompleteRevision() const {
  absl::MutexLock lock(&this->mutex);
  return this->complete_revision;
}

std::vector<RecordVersion> RecordStore::ValidRecords() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<RecordVersion> records;
  for (const auto& [key, entry] : this->entries) {
    if (entry.valid.has_value()) records.push_back(*entry.valid);
  }
  return records;
}

std::vector<RecordVersion> RecordStore::VersionsSince(
    std::int64_t revision) const {
  std::vector<RecordVersion> records;
  {
    absl::MutexLock lock(&this->mutex);
    for (const auto& [key, entry] : this->entries) {
      if (RevisionOf(entry.valid) > revision) records.push_back(*entry.valid);
      if (RevisionOf(entry.rejected) <= revision) continue;
      // The valid version stays in force, and the receiver may lack it even
      // though it is older than the given revision.
      if (entry.valid.has_value() && entry.valid->revision <= revision) {
        records.push_back(*entry.valid);
      }
      records.push_back(*entry.rejected);
    }
  }
  std::sort(records.begin(), records.end(),
            [](const RecordVersion& a, const RecordVersion& b) {
              return a.revision < b.revision;
            });
  return records;
}

std::vector<RejectedRecord> RecordStore::RejectedRecords() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<RejectedRecord> rejections;
  for (const auto& [key, entry] : this->entries) {
    if (!entry.rejected.has_value()) continue;
    rejections.push_back(
        RejectedRecord{key, entry.rejected->revision, entry.reason});
  }
  return rejections;
}

bool RecordStore::HasValidVersion(std::string_view key) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->entries.find(key);
  return found != this->entries.end() && found->second.valid.has_value();
}

}  // namespace dragonflyglade
