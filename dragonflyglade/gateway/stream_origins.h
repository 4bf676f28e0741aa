#ifndef DRAGONFLYGLADE_GATEWAY_STREAM_ORIGINS_H_
#define DRAGONFLYGLADE_GATEWAY_STREAM_ORIGINS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/stream_versions.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/earlier_versions.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// A stream that a caller takes up, or may take up.
struct StreamQuery {
  std::string_view request_id;  ///< of the caller's present attempt
  /// The caller's attempt that the stream began with; empty if not named.
  std::string_view stream;
  std::string_view service;
  /// For how long a caller may take such a stream up.
  absl::Duration lifetime;
};

/// Remembers, together with the other instances, at which software version each
/// stream began, so that it goes on at that version only. While targets of
/// several versions serve, two other instances are told of each stream before
/// its first event; they are asked when a caller takes it up elsewhere. Used by
/// one event loop.
class StreamOrigins {
 public:
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;
  StreamOrigins(boost::asio::io_context& context, FleetState& fleet,
                EarlierVersions& earlier_versions,
                const StoreSyncState& sync_state, InstanceRecord self,
                Metrics& metrics, EventLog& log, Clock clock);

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// Remembers where the stream begins, or goes on. To be called before the
  /// request is sent to the target.
  void RecordSent(const StreamQuery& query, const StreamOrigin& origin);

  /// Finds at which targets a stream may go on. Asks other instances if this
  /// one does not know the stream, which takes some ten milliseconds at most.
  boost::asio::awaitable<ContinuationDecision> Decide(StreamQuery query);

  /// Applies or answers another instance's message about streams.
  void Receive(const wire::FleetMessage& message);

 private:
  /// A question that waits for answers.
  struct PendingQuestion {
    std::set<std::string> silent;  ///< asked instances without an answer
    ContinuationFacts facts;
    AsyncCondition answered;

    explicit PendingQuestion(boost::asio::io_context& context)
        : answered(context) {}
    bool IsDecided() const {
      return this->facts.origin.has_value() || this->silent.empty();
    }
  };

  std::vector<StreamOwnerCandidate> Candidates() const;
  /// The only version at which a stream of this lifetime can have begun, as far
  /// as this instance knows; nothing if there may be several.
  std::optional<SoftwareVersion> SoleVersion(std::string_view service,
                                             absl::Duration lifetime);
  bool IsUpToDate() const;
  /// Waits until this instance knows all that the store had at a time, for a
  /// short time at most.
  boost::asio::awaitable<bool> AwaitKnowledgeOf(Instant time);
  boost::asio::awaitable<ContinuationFacts> Ask(const StreamQuery& query);
  void ReceiveNote(const wire::StreamOriginNote& note);
  void ReceiveQuestion(const wire::StreamOriginQuestion& question);
  void ReceiveAnswer(const wire::StreamOriginAnswer& answer);
  void TellOwners(std::string_view stream, const StreamOrigin& origin,
                  absl::Duration lifetime);
  /// Tells the owners of all remembered streams, when a second version begins
  /// to serve.
  void TellAllOwners();
  void SendNote(std::vector<wire::StreamOrigin> origins,
                const std::string& instance);

  boost::asio::io_context& context;
  FleetState& fleet;
  EarlierVersions& earlier_versions;
  const StoreSyncState& sync_state;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  SendMessage send;
  StreamVersions streams;
  std::int64_t last_number = 0;
  std::map<std::int64_t, PendingQuestion> pending;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STREAM_ORIGINS_H_
