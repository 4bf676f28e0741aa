#ifndef DRAGONFLYGLADE_GATEWAY_CRASH_RECORD_H_
#define DRAGONFLYGLADE_GATEWAY_CRASH_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"

namespace dragonflyglade::gateway {

/// Why requests with a part of a prompt, or one request, are refused. Kept in
/// the store, one record a suspect, so that it outlives all processes.
struct CrashRecord {
  std::string by;                    ///< name of an instance or an operator
  absl::Time since;                  ///< by the writer's wall clock
  std::string why;                   ///< an operator's words; may be empty
  std::vector<std::string> crashes;  ///< the targets that crashed on it
  /// See CrashAccount::FellTogether.
  bool fell_together = false;
  /// The software versions of these targets, each one once.
  std::vector<SoftwareVersion> versions;
};

/// A suspect's record, as one instance knows it.
struct RefusedSuspect {
  CrashRecord record;
  Instant known_since;  ///< in this form
};

/// Encodes the record as JSON.
std::string EncodeCrashRecord(const CrashRecord& record);

/// What can be read of a record. The key alone names the suspect, so that an
/// unreadable value is in force, too.
CrashRecord DecodeCrashRecord(std::string_view text);

/// The store's key of a suspect's record.
std::string CrashRecordKey(const Suspect& suspect);

/// The prefix of the keys of all suspects of a kind.
std::string_view CrashRecordPrefix(SuspectKind kind);

/// The suspect that a key of the store names; nothing if it is another key.
std::optional<Suspect> SuspectOfKey(std::string_view key);

/// The store's key that the instance creates which tries a request once more.
std::string TrialKey(std::string_view digest);
bool IsTrialKey(std::string_view key);

/// The word for a kind in logs, with the id of its suspects: "prompt_part" or
/// "digest".
std::string_view LogNameOf(SuspectKind kind);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CRASH_RECORD_H_
