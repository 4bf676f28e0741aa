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

// Failure: a re-read answered by a lagging replica, or a peer that restarted
// from an older copy, offers yesterday's record, and a withdrawn key works
// again. Comparing the record's own revision refuses it on every path, since
// the key-value service never gives a revision twice.
ApplyResult RecordStore::ApplyVersion(const RecordVersion& version) {
  std::optional<std::string> reason;
  if (!version.deleted) reason = this->validator(version);
  absl::MutexLock lock(&this->mutex);
  Entry& entry = this->entries[version.key];
  const std::int64_t good = RevisionOf(entry.good);
  const std::int64_t bad = RevisionOf(entry.bad);
  if (version.revision <= good) return ApplyResult::kStale;
  if (reason.has_value()) {
    if (version.revision <= bad) return ApplyResult::kStale;
    entry.bad = version;
    entry.reason = *reason;
    return ApplyResult::kRejected;
  }
  entry.good = version;
  if (bad < version.revision) entry.bad.reset();
  return ApplyResult::kApplied;
}

void RecordStore::MarkCompleteThrough(std::int64_t revision) {
  absl::MutexLock lock(&this->mutex);
  this->complete = std::max(this->complete, revision);
}

std::int64_t RecordStore::CompleteRevision() const {
  absl::MutexLock lock(&this->mutex);
  return this->complete;
}

std::vector<RecordVersion> RecordStore::ValidRecords() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<RecordVersion> records;
  for (const auto& [key, entry] : this->entries) {
    if (entry.good.has_value()) records.push_back(*entry.good);
  }
  return records;
}

std::vector<RecordVersion> RecordStore::Since(std::int64_t revision) const {
  std::vector<RecordVersion> records;
  {
    absl::MutexLock lock(&this->mutex);
    for (const auto& [key, entry] : this->entries) {
      if (RevisionOf(entry.good) > revision) records.push_back(*entry.good);
      if (RevisionOf(entry.bad) <= revision) continue;
      // The receiver may lack the good version that stays in force.
      if (entry.good.has_value() && entry.good->revision <= revision) {
        records.push_back(*entry.good);
      }
      records.push_back(*entry.bad);
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
    if (!entry.bad.has_value()) continue;
    rejections.push_back(
        RejectedRecord{key, entry.bad->revision, entry.reason});
  }
  return rejections;
}

bool RecordStore::HasValidVersion(std::string_view key) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->entries.find(key);
  return found != this->entries.end() && found->second.good.has_value();
}

}  // namespace dragonflyglade
