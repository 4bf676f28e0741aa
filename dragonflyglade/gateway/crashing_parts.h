#ifndef DRAGONFLYGLADE_GATEWAY_CRASHING_PARTS_H_
#define DRAGONFLYGLADE_GATEWAY_CRASHING_PARTS_H_

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
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/part_crashes.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/crashing_part_record.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/gateway/tasks.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Finds, together with the other instances, the parts of prompts that crash
/// targets, and knows which requests to refuse for them.
///
/// Each part has owners among the instances. They are told of each crash, ask
/// all instances whether targets answered on the part since, and confirm it if
/// none did. A confirmed part is told to all instances at once and kept in the
/// store until an operator removes its record. Used by one event loop.
class CrashingParts {
 public:
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;
  using TimeOfDay = std::function<absl::Time()>;

  CrashingParts(boost::asio::io_context& context, FleetState& fleet,
                StoreClient& store, InstanceRecord self, Metrics& metrics,
                EventLog& log, Tasks& tasks, Clock clock,
                TimeOfDay time_of_day);

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// The first of the parts for which requests are refused; null if none is.
  const PromptPart* FindRefused(absl::Span<const PromptPart> parts) const;

  /// Whether one of the parts was in several crashes lately.
  bool AnySuspect(absl::Span<const PromptPart> parts) const;

  /// Records that a target crashed when it may have begun to answer requests
  /// with the parts.
  void RecordCrash(const TargetCrash& crash,
                   const std::set<std::string>& parts);

  /// Records that a target of the version answered on the parts.
  void RecordSurvival(absl::Span<const PromptPart> parts,
                      const SoftwareVersion& version);

  /// Applies or answers another instance's message about parts.
  void Receive(const wire::FleetMessage& message);

  /// Writes confirmed parts to the store; runs until the process ends.
  boost::asio::awaitable<void> WriteRecords();

  /// The number of parts for which requests are refused.
  std::size_t RefusedCount() const;

 private:
  /// A confirmed part that this instance has not seen in the store.
  struct Unrecorded {
    CrashingPartRecord record;
    bool own = false;  ///< confirmed by this instance
    Instant known_since;
    Instant next_write;
    std::optional<Instant> written;
  };

  /// What other instances told of a part while it is being judged.
  struct Judgement {
    std::set<std::pair<std::string, std::int64_t>> crashes;  ///< of all targets
    std::map<std::string, std::size_t> answers;              ///< by instance
    std::optional<Instant> enough_since;  ///< since there are enough crashes
  };

  bool IsRefused(std::string_view part) const;
  PartEvidence EvidenceOn(const std::string& part);
  absl::Duration AgeOfFirstCrash(const std::string& part) const;
  std::vector<std::string> OwnersOf(std::string_view part) const;
  void ReceiveCrashNote(const wire::PartCrashNote& note);
  void ReceiveQuestion(const wire::PartQuestion& question);
  void ReceiveAnswer(const wire::PartAnswer& answer);
  void ReceiveConfirmed(const wire::CrashingPartNote& note);
  boost::asio::awaitable<void> Judge(std::string part, int rank);
  boost::asio::awaitable<void> JudgeInTurn(std::string part, int rank);
  void RecordOwnSurvivals(const std::string& part);
  void AskAll(const std::string& part);
  void MarkSuspect(const std::string& part);
  void Confirm(const std::string& part, int rank);
  void AddUnrecorded(const std::string& part, CrashingPartRecord record,
                     bool own);
  void TellAll(const wire::FleetMessage& message);
  void TellConfirmed(const std::string& part, const CrashingPartRecord& record);
  void HandleRemoval(std::string_view part);
  void DropRecorded();
  std::optional<absl::Duration> WriteDelay(const std::string& part,
                                           const Unrecorded& item) const;
  boost::asio::awaitable<void> WriteDue();
  boost::asio::awaitable<void> Write(std::string part);

  boost::asio::io_context& context;
  FleetState& fleet;
  StoreClient& store;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  Tasks& tasks;
  const Clock clock;
  const TimeOfDay time_of_day;
  SendMessage send;
  PartCrashes crashes;
  SurvivedParts survived;
  RecentCrashes recent;
  std::map<std::string, Judgement, std::less<>> judged;
  std::map<std::string, Unrecorded, std::less<>> unrecorded;
  std::map<std::string, Instant, std::less<>> suspect_until;
  std::map<std::string, Instant, std::less<>> removed_at;
  AsyncCondition confirmed;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CRASHING_PARTS_H_
