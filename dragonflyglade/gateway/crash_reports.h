#ifndef DRAGONFLYGLADE_GATEWAY_CRASH_REPORTS_H_
#define DRAGONFLYGLADE_GATEWAY_CRASH_REPORTS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/crash_judge.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/refused_suspects.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Tells the owners of suspects of each crash, and learns from them what other
/// instances have told of the same request. Used by one event loop.
class CrashReports {
 public:
  using SendMessage = RefusedSuspects::SendMessage;

  CrashReports(boost::asio::io_context& context, FleetState& fleet,
               const RefusedSuspects& refused, CrashJudge& judge,
               InstanceRecord self, Clock clock);

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// Reports a target that crashed when it may have begun to answer requests
  /// with the parts.
  void ReportParts(const TargetCrash& crash,
                   const std::set<std::string>& parts);

  /// Reports a target that crashed while it ran the requests. Returns when
  /// their owners have answered, after some hundredths of a second at most.
  /// @param requests by their digests, how they were sent to the target
  /// @return the digests of those that must not be sent again: several targets
  ///     have crashed under them, or no owner answered
  boost::asio::awaitable<std::set<std::string>> ReportRequests(
      TargetCrash crash, std::map<std::string, SentAs> requests);

  /// Applies or answers another instance's message.
  void Receive(const wire::FleetMessage& message);

 private:
  /// A report to which not all owners have replied.
  struct Unanswered {
    explicit Unanswered(boost::asio::io_context& context) : changed(context) {}
    std::map<std::string, wire::CrashNote> notes;  ///< by owner
    std::set<std::string> answered;                ///< digests
    AsyncCondition changed;
  };
  using Notes = std::map<std::string, wire::CrashNote>;  ///< by owner

  Notes NotesFor(const TargetCrash& crash, SuspectKind kind,
                 const std::set<std::string>& ids) const;
  void Send(const std::string& instance, const wire::CrashNote& note);
  void ReceiveNote(const wire::CrashNote& note);
  void Reply(const wire::CrashNote& note, SuspectKind kind);
  void ReceiveReply(const wire::CrashReply& reply);

  boost::asio::io_context& context;
  FleetState& fleet;
  const RefusedSuspects& refused;
  CrashJudge& judge;
  const InstanceRecord self;
  const Clock clock;
  SendMessage send;
  std::map<std::int64_t, std::shared_ptr<Unanswered>> unanswered;
  std::int64_t last_number = 0;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CRASH_REPORTS_H_
