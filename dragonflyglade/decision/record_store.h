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

/// One version of one record, as the key-value service numbered it.
struct RecordVersion {
  std::string key;
  std::int64_t revision = 0;
  std::string value;
  bool deleted = false;
};

/// What became of a record version that was offered.
enum class ApplyResult {
  kApplied,   ///< it is the record now
  kStale,     ///< a version at least as new was there already
  kRejected,  ///< it is invalid; the last good version stays in force
};

/// A record that was not taken, and why.
struct RejectedRecord {
  std::string key;
  std::int64_t revision = 0;
  std::string reason;
};

/// The records of the configuration, which never go back.
///
/// Each record is guarded by its revision, whichever way it arrives: watch,
/// re-read, restart or peer. An invalid version replaces nothing.
/// Thread-safe.
class RecordStore {
 public:
  /// Says why a version cannot be taken, or nothing if it can.
  using Validator =
      std::function<std::optional<std::string>(const RecordVersion&)>;

  explicit RecordStore(Validator validator);

  /// Offers a version of a record.
  ApplyResult ApplyVersion(const RecordVersion& version);

  /// Says that every record up to a revision was offered.
  void MarkCompleteThrough(std::int64_t revision);

  /// The revision up to which nothing is missing.
  std::int64_t CompleteRevision() const;

  /// The newest good version of every record, deletions included, by key.
  std::vector<RecordVersion> ValidRecords() const;

  /// What a follower at a revision lacks, oldest first: good versions and,
  /// where newer, the rejected ones.
  std::vector<RecordVersion> Since(std::int64_t revision) const;

  /// Records whose newest version is rejected.
  std::vector<RejectedRecord> RejectedRecords() const;

  /// Whether a good version of the key was ever seen.
  bool HasValidVersion(std::string_view key) const;

 private:
  struct Entry {
    std::optional<RecordVersion> good;
    std::optional<RecordVersion> bad;  ///< newer than good
    std::string reason;
  };

  const Validator validator;
  mutable absl::Mutex mutex;
  std::map<std::string, Entry, std::less<>> entries ABSL_GUARDED_BY(mutex);
  std::int64_t complete ABSL_GUARDED_BY(mutex) = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RECORD_STORE_H_
