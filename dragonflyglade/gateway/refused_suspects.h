#ifndef DRAGONFLYGLADE_GATEWAY_REFUSED_SUSPECTS_H_
#define DRAGONFLYGLADE_GATEWAY_REFUSED_SUSPECTS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/crash_account.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/crash_record.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/messages.h"
#include "dragonflyglade/gateway/store_client.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// The instances that keep count of a suspect's crashes, the first one first.
std::vector<std::string> OwnersOf(const Suspect& suspect,
                                  const FleetState& fleet,
                                  const std::string& self);

/// Whether the id can be part of a key of the store.
bool IsUsable(const Suspect& suspect);

/// The parts of prompts and the requests that are refused, since targets crash
/// on them: those that the store has a record of, and those that it does not
/// have one of yet. An instance that adds one tells all others at once. Used by
/// one event loop.
class RefusedSuspects {
 public:
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;
  using TimeOfDay = std::function<absl::Time()>;

  RefusedSuspects(boost::asio::io_context& context, FleetState& fleet,
                  StoreClient& store, InstanceRecord self, Metrics& metrics,
                  EventLog& log, Clock clock, TimeOfDay time_of_day);

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// Sets a function that is called when a suspect is served again.
  void OnRemoved(std::function<void(const Suspect&)> callback) {
    this->on_removed = std::move(callback);
  }

  /// Why the suspect is refused; null if it is not. Valid until the event loop
  /// goes on.
  const RefusedSuspect* Find(const Suspect& suspect) const;

  /// The first of the parts for which requests are refused; null if none is.
  const PromptPart* FindPart(absl::Span<const PromptPart> parts) const;

  /// Refuses the suspect at all instances from now on. Returns when those that
  /// can be reached know it, after some hundredths of a second at most.
  /// @param crashes of the suspect
  boost::asio::awaitable<void> Refuse(Suspect suspect,
                                      std::vector<CrashAccount::Crash> crashes);

  /// Serves the request again everywhere, after a target of the version has
  /// answered it; unless targets of another version crashed on it.
  boost::asio::awaitable<void> Clear(std::string digest,
                                     SoftwareVersion version);

  /// Applies or answers another instance's message.
  void Receive(const wire::FleetMessage& message);

  /// Writes records to the store and removes lapsed ones; runs until the
  /// process ends.
  boost::asio::awaitable<void> MaintainRecords();

  /// The number of refused suspects of a kind.
  std::size_t Count(SuspectKind kind) const;

 private:
  /// A refused suspect that this instance has not seen in the store.
  struct Unrecorded {
    RefusedSuspect refused;
    bool own = false;  ///< refused by this instance
    Instant next_write;
    std::optional<Instant> written;
  };
  /// Instances that have not confirmed a message yet.
  struct Unconfirmed {
    explicit Unconfirmed(boost::asio::io_context& context) : changed(context) {}
    std::set<std::string> instances;
    AsyncCondition changed;
  };

  boost::asio::awaitable<void> TellAll(Suspect suspect, CrashRecord record);
  wire::FleetMessage MakeNote(const Suspect& suspect, const CrashRecord& record,
                              std::int64_t number) const;
  void ReceiveNote(const wire::RefusedSuspectNote& note);
  void ReceiveConfirmation(const wire::RefusalConfirmation& confirmation);
  void Add(const Suspect& suspect, CrashRecord record, bool own);
  void DropOldestRequest();
  void HandleRemoval(const Suspect& suspect);
  void DropRecorded();
  std::optional<absl::Duration> WriteDelay(const Suspect& suspect,
                                           const Unrecorded& item) const;
  boost::asio::awaitable<void> WriteDue();
  boost::asio::awaitable<void> Write(Suspect suspect);
  std::vector<Suspect> LapsedRequests() const;
  boost::asio::awaitable<bool> RemoveRecord(std::string digest);

  boost::asio::io_context& context;
  FleetState& fleet;
  StoreClient& store;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  const TimeOfDay time_of_day;
  SendMessage send;
  std::function<void(const Suspect&)> on_removed;
  std::map<Suspect, Unrecorded> unrecorded;
  std::map<Suspect, Instant> removed_at;
  std::map<std::int64_t, std::shared_ptr<Unconfirmed>> unconfirmed;
  std::int64_t last_number = 0;
  AsyncCondition added;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_REFUSED_SUSPECTS_H_
