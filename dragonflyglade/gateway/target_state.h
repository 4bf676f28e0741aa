#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_STATE_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leaky_bucket.h"
#include "dragonflyglade/decision/pacing.h"
#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/target_connection.h"

namespace dragonflyglade::gateway {

/// How a request ended, as far as it tells of its target.
enum class TargetResult {
  kSuccess,  ///< answered as it should
  kFailure,  ///< failed, broke off, or answered with an error of its own
  kUnreachable,
};

/// What this instance knows of one target. One event loop.
class TargetState {
 public:
  TargetState(TargetRecord record, Instant now);

  const TargetRecord& Record() const { return this->record; }
  /// When the record was last replaced.
  Instant UpdatedAt() const { return this->updated_at; }

  /// Takes a newer record. A target that was started anew has forgotten all.
  void Update(TargetRecord newer, Instant now);

  /// Whether the model, and the adapter unless it is empty, can be asked for.
  bool Holds(std::string_view model, std::string_view adapter,
             Instant now) const;
  bool HoldsModel(std::string_view model) const;

  /// The target said that it lacks them, whatever its record says.
  void MarkNotResident(std::string_view model, std::string_view adapter,
                       Instant now);

  /// The placing instance says which adapters are there, as ResidentKey, and
  /// which models are about to leave. While that is fresh it goes before the
  /// record, which lags by a heartbeat.
  /// What was told last still holds.
  /// @return false if nothing is known since the target's process started
  bool RefreshPlacement(Instant now);
  void SetPlacement(std::set<std::string> adapters,
                    std::set<std::string> closing_models, Instant now);

  /// Counts a request while it is at the target.
  /// @param adapter as ResidentKey; empty if it needs none
  void Sent(double prompt_tokens, const std::string& resident, Instant now);
  void FirstOutput(double prompt_tokens);
  void Ended(const std::string& resident);
  /// How many requests use each adapter.
  const std::map<std::string, int>& ResidentsInUse() const {
    return this->residents_in_use;
  }
  int InFlight() const { return this->in_flight; }
  double UnreadTokens() const { return this->unread_tokens; }

  /// What the target said of its load with an answer.
  void Reported(const LoadReport& report, Instant now);
  /// What other instances have there, by the last summary.
  void SetOtherInstancesLoad(double requests, double unread, Instant now);
  /// Another instance told of prompts that it just sent there.
  void AddSentByOthers(double prompt_tokens, Instant now);

  /// Requests there, of this and all other instances, as far as known.
  double Requests(Instant now) const;
  double Unread(Instant now) const;
  /// Prompt tokens that were sent faster than the pace; see PacingDelay.
  double AheadOfPace(Instant now) const { return this->pace.Level(now); }

  /// The target had no place for a request just now.
  void MarkFull(Instant now);

  /// Learns from a request's end.
  void Learn(TargetResult result, Instant now);
  bool IsAvoided(Instant now) const { return now < this->avoid_until; }
  /// 0 to 1: the part of the last requests that failed.
  double FaultShare() const { return this->failure_rate; }

  /// Set when the entry vanished although the target may live on.
  std::optional<Instant> missing_since;
  ConnectionPool connections;

 private:
  TargetRecord record;
  Instant updated_at;
  std::set<std::string> placed_adapters;
  std::set<std::string> closing_models;
  std::optional<Instant> placed_at;
  std::map<std::string, Instant> absent_until;
  int in_flight = 0;
  std::map<std::string, int> residents_in_use;
  double unread_tokens = 0;
  std::optional<LoadReport> report;
  Instant reported_at;
  int in_flight_at_report = 0;
  double others_requests = 0;
  double others_unread = 0;
  std::optional<Instant> others_at;
  LeakyBucket others_sent{kPrefillTokensPerMs};
  LeakyBucket pace{kPacedPrefillTokensPerMs};  ///< of what all instances send
  double failure_rate = 0;
  int unreachable_in_row = 0;
  Instant avoid_until;
};

/// "model" or "model/adapter".
std::string ResidentKey(std::string_view model, std::string_view adapter);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_STATE_H_
