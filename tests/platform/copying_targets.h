#ifndef DRAGONFLYGLADE_TESTS_PLATFORM_COPYING_TARGETS_H_
#define DRAGONFLYGLADE_TESTS_PLATFORM_COPYING_TARGETS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "tests/platform/target_stand_in.h"

namespace dragonflyglade {

/// Answers for targets that keep copies of each other's runs. A run streams
/// events with the ids 1 to kLastEvent; on paths other than streaming ones it
/// answers with one body. Each event and body names its run.
class CopyingTargets {
 public:
  static constexpr int kLastEvent = 6;

  /// How a target ends before its run does.
  enum class Loss { kNone, kClose, kReset, kSilence, kCrash };
  /// How a target answers the continuation of a run that it has no copy of.
  enum class Refusal {
    kNotExecuted,  ///< 503 with the not-executed field
    kUnavailable,  ///< 503 without it
    kNotFound,     ///< 404
    kConflict,     ///< 409
    kNoAnswer,     ///< the connection ends
    kOtherStream,  ///< the stream from its beginning
  };
  struct Plan {
    /// Of the first target of a request, of the second one, and so on.
    std::vector<Loss> losses;
    int events = 2;  ///< that each of these sends before
    bool keeps_copies = true;
    Refusal refusal = Refusal::kNotExecuted;
  };

  /// The times during which one target worked on a run.
  struct Work {
    int run = 0;
    std::string target;  ///< id
    bool continued = false;
    absl::Time begin;
    std::optional<absl::Time> end;
  };

  explicit CopyingTargets(Plan plan) : plan(std::move(plan)) {}

  /// Makes a target known, before its first run.
  void Register(const std::string& id, const std::string& address);

  PlatformTargetStandIn::Script Answer(const RawRequest& request);

  /// Marks all handles as used.
  void UseUpHandles();

  std::vector<Work> Works() const;
  /// The values of the field that asks for a copy, empty ones included.
  std::vector<std::string> Backups() const;
  int RefusedHandles() const;

 private:
  struct Copy {
    int run = 0;
    bool used = false;
  };
  using Script = PlatformTargetStandIn::Script;

  Script Refuse(const RawRequest& request) const;
  Script Run(const RawRequest& request, int run, bool continued)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
  std::string Output(const RawRequest& request, int run, bool all) const;

  const Plan plan;
  mutable absl::Mutex mutex;
  std::map<std::string, std::string> addresses ABSL_GUARDED_BY(mutex);
  std::map<std::string, Copy> copies ABSL_GUARDED_BY(mutex);  ///< by handle
  std::map<std::string, std::size_t> sends ABSL_GUARDED_BY(mutex);
  std::vector<Work> works ABSL_GUARDED_BY(mutex);
  std::vector<std::string> backups ABSL_GUARDED_BY(mutex);
  int runs ABSL_GUARDED_BY(mutex) = 0;
  int refused_handles ABSL_GUARDED_BY(mutex) = 0;
  bool used_up ABSL_GUARDED_BY(mutex) = false;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_TESTS_PLATFORM_COPYING_TARGETS_H_
