#ifndef DRAGONFLYGLADE_DECISION_RUN_BACKUP_H_
#define DRAGONFLYGLADE_DECISION_RUN_BACKUP_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leaky_bucket.h"

namespace dragonflyglade {

/// What the copies of runs take at the engines of a service; 0 if not known.
struct BackupCosts {
  double bytes_per_token = 0;
  double link_mbps = 0;        ///< between two engines, in Mbit/s
  double capacity_tokens = 0;  ///< of one engine's memory for runs
};

/// A run that another engine may keep a copy of.
struct BackupRun {
  double prompt_tokens = 0;
  double shared_prefix_tokens = 0;
  double output_tokens = 0;  ///< upper bound
  /// Whether the request may be sent to another engine without a copy.
  bool may_be_repeated = false;

  double Tokens() const { return this->prompt_tokens + this->output_tokens; }
};

/// Whether sending the copy takes less time than the work that is lost with the
/// engine. A run that may be repeated loses only the reading of its tokens.
bool IsBackupWorthwhile(const BackupRun& run, const BackupCosts& costs);

/// An engine that could keep a copy, as this instance knows it.
struct BackupEngine {
  std::string_view id;
  int slots = 1;
  double requests = 0;  ///< at the engine, of all instances
};

/// The copies that this instance has asked for. Limits their number and size at
/// each engine, and how many are asked for in a second. Not synchronised.
class RunBackups {
 public:
  RunBackups();

  /// Whether the engine has room for another copy of this instance.
  /// @param instances number of instances that share the engine
  bool HasRoom(const BackupEngine& engine, double tokens,
               const BackupCosts& costs, int instances, Instant now);

  /// Whether this instance may ask for another copy now.
  bool MayAsk(Instant now) const;

  void RecordAsked(std::string_view engine, double tokens, Instant now);

  /// Records that the run of a copy has ended.
  /// @param freed when the engine frees the copy
  void RecordEnded(std::string_view engine, double tokens, Instant freed);

 private:
  struct Ended {
    Instant freed;
    double tokens = 0;
  };
  struct Copies {
    int count = 0;
    double tokens = 0;
    std::deque<Ended> ended;
  };

  static void RemoveFreed(Copies& copies, Instant now);

  std::map<std::string, Copies, std::less<>> copies;  ///< by engine
  LeakyBucket asked;
};

/// How the engine of a run with a copy was lost.
struct LostRun {
  bool answered = false;   ///< with something else than the run's output
  bool timed_out = false;  ///< the time of the request is over
  bool continued = false;  ///< it has been continued from a copy before
  /// Whether the engine itself ended the connection, over a direct path.
  bool ended_by_engine = false;
  /// Whether this instance has no path of its own to the engines.
  bool isolated = false;
  bool has_output = false;  ///< the caller has received events
  /// Whether the id of the last event received is known.
  bool has_last_event = false;
  bool may_be_repeated = false;
};

/// The time to wait after the connection is closed until the run may continue
/// from its copy.
/// @return nothing if it may not continue
std::optional<absl::Duration> DelayBeforeContinuation(const LostRun& run);

/// The time without any byte of a stream after which its engine counts as lost.
/// @param longest_pause between two events of the stream so far
/// @param copy_kept how long the engine with the copy keeps it after the last
///   part; zero if not known
/// @return nothing if the copy would be gone before
std::optional<absl::Duration> SilenceLimit(absl::Duration longest_pause,
                                           absl::Duration copy_kept);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_RUN_BACKUP_H_
