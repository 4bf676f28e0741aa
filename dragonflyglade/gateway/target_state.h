#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_STATE_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/brittle_target.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/leaky_bucket.h"
#include "dragonflyglade/decision/pacing.h"
#include "dragonflyglade/decision/prompt_backlog.h"
#include "dragonflyglade/decision/prompt_rate.h"
#include "dragonflyglade/decision/send_allowance.h"
#include "dragonflyglade/decision/slow_start.h"
#include "dragonflyglade/decision/target_choice.h"
#include "dragonflyglade/decision/target_rate_limit.h"
#include "dragonflyglade/decision/target_rest.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/target_connection.h"

namespace dragonflyglade::gateway {

/// The result of a request, as evidence of the health of its target.
enum class TargetResult {
  kSuccess,  ///< the target responded correctly
  kFailure,  ///< the target failed, lost the connection or returned an error
  kUnreachable,
};

/// The state of one target as this instance knows it. Used on one event loop.
class TargetState {
 public:
  TargetState(TargetRecord record, Instant now);

  const TargetRecord& Record() const { return this->record; }
  /// When the record was last replaced.
  Instant UpdatedAt() const { return this->updated_at; }

  /// Replaces the record. If the target's process restarted, discards what was
  /// known of the earlier process.
  void Update(TargetRecord newer, Instant now);

  /// Whether the target can serve requests for the model, and for the adapter
  /// unless it is empty.
  bool Holds(std::string_view model, std::string_view adapter,
             Instant now) const;
  bool HoldsModel(std::string_view model) const;

  /// Records the target's own statement that the model or adapter is not
  /// resident. For a short time this overrides the target's record.
  void MarkNotResident(std::string_view model, std::string_view adapter,
                       Instant now);

  /// Confirms that the residency which the leader reported last is still valid.
  /// @return false if none was reported since the target's process started
  bool RefreshPlacement(Instant now);
  /// Stores the residency that the leader reported. While it is recent it
  /// overrides the target's record, which lags by a heartbeat; later it adds to
  /// the record.
  /// @param adapters the resident adapters, each as ResidentKey
  /// @param closing_models models that are about to be unloaded
  void SetPlacement(std::set<std::string> adapters,
                    std::set<std::string> closing_models, Instant now);

  /// Counts a request as in flight at the target.
  /// @param prompt_tokens tokens that the target is expected to process
  /// @param resident ResidentKey of its model or adapter; empty if none
  void RecordSent(double prompt_tokens, const std::string& resident,
                  Instant now);
  /// The target has processed the prompt of a request.
  void RecordFirstOutput(double prompt_tokens);
  /// A request is no longer in flight.
  void RecordEnd(const std::string& resident);
  /// Requests of this instance in flight, by ResidentKey.
  const std::map<std::string, int>& ResidentsInUse() const {
    return this->residents_in_use;
  }
  int InFlight() const { return this->in_flight; }
  /// Whether the target warms up.
  SlowStart& SlowStartState() { return this->slow_start; }
  /// The requests that this instance sent to the target.
  const SendHistory& Sent() const { return this->sent; }
  /// The limit that the target states.
  TargetRateLimit& RateLimit() { return this->rate_limit; }
  const TargetRateLimit& RateLimit() const { return this->rate_limit; }
  /// Whether the target states that it is brittle, and its declines.
  BrittleTarget& Brittleness() { return this->brittleness; }
  const BrittleTarget& Brittleness() const { return this->brittleness; }
  /// Whether the target leaves, by its record or by its own word, which its
  /// record may lag behind.
  bool IsLeaving() const { return this->record.leaving || this->said_leaving; }
  /// Whether it has said so while its record does not.
  bool LeavesByItsWord() const {
    return this->said_leaving && !this->record.leaving;
  }
  /// Records that the target said that it leaves. It holds until its process
  /// ends.
  /// @return whether that was not known
  bool RecordSaidLeaving();
  /// The rest that the target asked this instance for.
  TargetRest& Rest() { return this->rest; }
  const TargetRest& Rest() const { return this->rest; }
  double UnreadTokens() const { return this->unread_tokens; }

  /// Stores the load that the target stated in a response.
  void SetLoadReport(const LoadReport& report, Instant now);
  /// Stores the load that other instances put on the target, from the leader's
  /// latest summary.
  /// @param requests their requests in flight
  /// @param unread prompt tokens that the target has yet to process for them
  void SetOtherInstancesLoad(double requests, double unread, Instant now);
  /// Adds prompt tokens that another instance has just sent to the target.
  void AddSentByOthers(double prompt_tokens, Instant now);

  /// How long work takes at the target, by its latest statement; 1 is as usual,
  /// and if it stated nothing lately.
  double Slowness(Instant now) const;
  /// Whether the target's process ever stated how long work takes.
  bool StatesSlowness() const { return this->states_slowness; }

  /// Estimate of the requests in flight at the target, of all instances.
  double EstimatedRequests(Instant now) const;
  /// Estimate of the prompt tokens that the target has yet to process.
  double EstimatedUnreadTokens(Instant now) const;
  /// Prompt tokens that the target got per millisecond lately, of all
  /// instances.
  double PromptTokensPerMs(Instant now) const;
  /// The mean size of the prompt that one of these tokens belongs to; 0 if this
  /// instance knows of none.
  double TypicalPromptTokens() const { return this->prompts.TypicalTokens(); }
  /// Prompt tokens sent in excess of the pace; see PacingDelay.
  double TokensAheadOfPace(Instant now) const { return this->pace.Level(now); }

  /// Records that the target declined a request because it was full.
  void MarkFull(Instant now);

  /// Updates the health estimate with the result of a request.
  void RecordResult(TargetResult result, Instant now);
  /// Whether requests should go elsewhere for now: the target is full or was
  /// unreachable.
  bool IsAvoided(Instant now) const { return now < this->avoid_until; }
  /// Forgets that the target was unreachable, if it was, and how often its
  /// requests failed.
  void ForgetUnreachable();
  /// Moving average of the share of requests that failed, from 0 to 1.
  double FailureRate() const { return this->failure_rate; }

  /// Set when the target's record left the store while the target may still be
  /// running.
  std::optional<Instant> missing_since;
  /// Connections over this instance's own path.
  ConnectionPool connections;
  /// Connections through other instances; see TunnelServer.
  ConnectionPool tunnels;

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
  SlowStart slow_start;
  SendHistory sent;
  TargetRateLimit rate_limit;
  BrittleTarget brittleness;
  TargetRest rest;
  bool said_leaving = false;
  std::optional<LoadReport> report;
  Instant reported_at;
  bool states_slowness = false;
  int in_flight_at_report = 0;
  double others_requests = 0;
  double others_unread = 0;
  std::optional<Instant> others_at;
  LeakyBucket others_sent{kPrefillTokensPerMs};
  LeakyBucket pace{
      kPacedPrefillTokensPerMs};  ///< prompt tokens that all instances send
  PromptRate prompts;            ///< of this instance, and those others told of
  PromptBacklog others_backlog;  ///< of instances that tell of no prompts
  double failure_rate = 0;
  int unreachable_in_row = 0;
  Instant avoid_until;
};

/// Returns "model" or "model/adapter".
std::string ResidentKey(std::string_view model, std::string_view adapter);

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_STATE_H_
