#ifndef DRAGONFLYGLADE_GATEWAY_CRASH_JUDGE_H_
#define DRAGONFLYGLADE_GATEWAY_CRASH_JUDGE_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/answer_log.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/decision/crash_verdicts.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/refused_suspects.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Decides from the crashes of targets which suspects crash them. Asks all
/// instances whether targets answered on a suspect since, and answers their
/// questions. Used by one event loop.
class CrashJudge {
 public:
  using SendMessage = RefusedSuspects::SendMessage;

  CrashJudge(boost::asio::io_context& context, FleetState& fleet,
             RefusedSuspects& refused, InstanceRecord self, EventLog& log,
             Tasks& tasks, Clock clock);

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// Whether one of the parts was in several crashes lately.
  bool AnySuspect(absl::Span<const PromptPart> parts) const;

  /// Records a crash, whatever the target ran.
  void RecordCrash(const TargetCrash& crash) { this->recent.Record(crash); }
  /// Records that a target crashed when it ran the suspect.
  void RecordCrash(const Suspect& suspect, const TargetCrash& crash, Instant at,
                   SentAs sent_as = SentAs::kRepeat);

  /// Records that a target of the version answered on the parts.
  void RecordSurvival(absl::Span<const PromptPart> parts,
                      const SoftwareVersion& version);
  /// Records that a target of the version has answered the request.
  void RecordSurvival(std::string_view digest, const SoftwareVersion& version);

  std::size_t CountOf(const Suspect& suspect) const {
    return this->account.Count(suspect);
  }
  std::vector<CrashAccount::Crash> CrashesOf(const Suspect& suspect) const {
    return this->account.CrashesOf(suspect);
  }
  /// The crashes of all targets within the suspect's EvidenceTime, as far as
  /// known here; a hundred at most.
  std::vector<TargetCrash> CrashesAround(const Suspect& suspect) const;

  /// Refuses the suspect if it crashes targets. Returns when that is decided,
  /// after some tenths of a second at most for a request.
  boost::asio::awaitable<void> Judge(Suspect suspect);

  /// Judges the suspect after a time, unless another instance has refused it by
  /// then.
  void JudgeLater(const Suspect& suspect, absl::Duration delay);

  /// Applies or answers another instance's message.
  void Receive(const wire::FleetMessage& message);

 private:
  /// What other instances told of a suspect while it is being judged.
  struct Judgement {
    std::set<std::pair<std::string, std::int64_t>> crashes;  ///< of all targets
    std::map<std::string, std::size_t> answers;              ///< by instance
    std::optional<Instant> enough_since;  ///< since there are enough crashes
  };

  bool IsSettled(const Suspect& suspect) const;
  CrashVerdict VerdictOn(const Suspect& suspect, const CrashEvidence& evidence);
  CrashEvidence EvidenceOn(const Suspect& suspect);
  boost::asio::awaitable<void> JudgeAfter(Suspect suspect,
                                          absl::Duration delay);
  boost::asio::awaitable<void> JudgeUntilDecided(Suspect suspect);
  void RecordOwnSurvivals(const Suspect& suspect);
  void AskAll(const Suspect& suspect);
  void MarkSuspect(const Suspect& suspect);
  void ReceiveQuestion(const wire::SuspectQuestion& question);
  void ReceiveAnswer(const wire::SuspectAnswer& answer);

  boost::asio::io_context& context;
  FleetState& fleet;
  RefusedSuspects& refused;
  const InstanceRecord self;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  SendMessage send;
  CrashAccount account;
  AnswerLog answered;
  RecentCrashes recent;
  std::set<Suspect> due;  ///< to be judged later
  std::map<Suspect, Judgement> judged;
  AsyncCondition decided;
  std::map<Suspect, Instant> suspect_until;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CRASH_JUDGE_H_
