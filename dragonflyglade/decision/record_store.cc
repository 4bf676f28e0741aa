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
RecordFate RecordStore::Offer(const RecordVersion& version) {
  std::optional<std::string> reason;
  if (!version.deleted) reason = this->validator(version);
  absl::MutexLock lock(&this->mutex);
  Entry& entry = this->entries[version.key];
  const std::int64_t good = RevisionOf(entry.good);
  const std::int64_t bad = RevisionOf(entry.bad);
  if (version.revision <= good) return RecordFate::kOld;
  if (reason.has_value()) {
    if (version.revision <= bad) return RecordFate::kOld;
    entry.bad = version;
    entry.reason = *reason;
    return RecordFate::kRejected;
  }
  entry.good = version;
  if (bad < version.revision) entry.bad.reset();
  return RecordFate::kInForce;
}

void RecordStore::CompleteUpTo(std::int64_t revision) {
  absl::MutexLock lock(&this->mutex);
  this->complete = std::max(this->complete, revision);
}

std::int64_t RecordStore::CompleteRevision() const {
  absl::MutexLock lock(&this->mutex);
  return this->complete;
}

std::vector<RecordVersion> RecordStore::Good() const {
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

std::vector<Rejection> RecordStore::Rejected() const {
  absl::MutexLock lock(&this->mutex);
  std::vector<Rejection> rejections;
  for (const auto& [key, entry] : this->entries) {
    if (!entry.bad.has_value()) continue;
    rejections.push_back(Rejection{key, entry.bad->revision, entry.reason});
  }
  return rejections;
}

bool RecordStore::HasGood(std::string_view key) const {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->entries.find(key);
  return found != this->entries.end() && found->second.good.has_value();
}

}  // namespace dragonflyglade
