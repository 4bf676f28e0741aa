#ifndef DRAGONFLYGLADE_DECISION_RECORD_STORE_H_
#define DRAGONFLYGLADE_DECISION_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"

namespace dragonflyglade {

/// One version of a configuration record. The revision is the one that the
/// key-value service assigned.
struct RecordVersion {
  std::string key;
  std::int64_t revision = 0;
  std::string value;
  bool deleted = false;
};

/// The outcome of offering a record version to the store.
enum class ApplyResult {
  kApplied,   ///< applied; it replaces the previous version
  kStale,     ///< ignored; a version at least as new is stored already
  kRejected,  ///< invalid; the last valid version stays in force
};

/// A record version that the validator rejected, and why.
struct RejectedRecord {
  std::string key;
  std::int64_t revision = 0;
  std::string reason;
};

/// The records of the configuration. A record is never replaced by an older
/// version.
///
/// The revision of each record is compared in the same way whether the record
/// comes from a watch, a re-read, a restart or a peer. An invalid version
/// replaces nothing.
/// Thread-safe.
class RecordStore {
 public:
  /// Returns why a version is invalid; nothing if it is valid.
  using Validator =
      std::function<std::optional<std::string>(const RecordVersion&)>;

  explicit RecordStore(Validator validator);

  /// Applies a version of a record if it is valid and newer.
  ApplyResult ApplyVersion(const RecordVersion& version);

  /// Records that every change up to a revision has been offered.
  void MarkCompleteThrough(std::int64_t revision);

  /// The revision up to which no change is missing.
  std::int64_t CompleteRevision() const;

  /// The newest valid version of every record, ordered by key. Includes
  /// deletions.
  std::vector<RecordVersion> ValidRecords() const;

  /// The versions that an instance which is complete up to a revision lacks,
  /// the oldest first: valid ones and the rejected ones that are newer.
  std::vector<RecordVersion> VersionsSince(std::int64_t revision) const;

  /// The records whose newest version was rejected.
  std::vector<RejectedRecord> RejectedRecords() const;

  /// Whether a valid version of the key was ever applied.
  bool HasValidVersion(std::string_view key) const;

 private:
  struct Entry {
    std::optional<RecordVersion> valid;
    std::optional<RecordVersion> rejected;  ///< newer than the valid one
    std::string reason;                     ///< of the rejection
  };

  const Validator validator;
  mutable absl::Mutex mutex;
  std::map<std::string, Entry, std::less<>> entries ABSL_GUARDED_BY(mutex);
  std::int64_t complete_revision ABSL_GUARDED_BY(mutex) = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RECORD_STORE_H_
