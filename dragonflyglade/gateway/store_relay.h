#ifndef DRAGONFLYGLADE_GATEWAY_STORE_RELAY_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/event_log.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/gateway/instance_record.h"
#include "dragonflyglade/gateway/large_change_receiver.h"
#include "dragonflyglade/gateway/large_change_sender.h"
#include "dragonflyglade/gateway/neighbor_rotation.h"
#include "dragonflyglade/gateway/store_sync_state.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// When another instance sent the report or question that a digest responds to.
struct RequestTime {
  std::int64_t sent_ms = 0;  ///< by the other instance's clock
  Instant received_at;
};

/// Passes the store's urgent changes from the relay instances, which watch the
/// store, to all others, so that the load on the store does not grow with the
/// fleet.
///
/// The leader sends a digest with each summary. While the leader is
/// unresponsive, instances query the other relays, which are few and of high
/// capacity, and read the store themselves only when no relay responds. An
/// instance whose own reads fail, too, queries any other instance.
///
/// A digest contains small changes, and announces those that are too large for
/// it. The receiver requests their parts from the sender of the digest, and
/// from any other instance if that does not respond. Used by one event loop.
class StoreRelay {
 public:
  using SendMessage = LargeChangeSender::SendMessage;

  /// @param link_mbps network bandwidth of this instance in Mbit/s
  StoreRelay(boost::asio::io_context& context, FleetState& fleet,
             StoreSyncState& sync_state, InstanceRecord self, double link_mbps,
             Metrics& metrics, EventLog& log, Clock clock);

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(SendMessage send);
  /// Called after a digest of another instance was applied.
  void OnDigestApplied(std::function<void()> callback) {
    this->on_digest_applied = std::move(callback);
  }

  /// A digest with the urgent changes after a revision. Its receiver does not
  /// take it for a sign that this instance is up to date.
  /// @param known the revision through which the receiver knows all urgent
  ///   changes
  wire::StoreDigest DigestSince(std::uint64_t known);

  /// As DigestSince, in response to a report or question.
  wire::StoreDigest RespondWithDigest(std::uint64_t known,
                                      const RequestTime& request);

  /// Applies the changes and the revisions of another instance's digest.
  void ReceiveDigest(const wire::StoreDigest& digest);

  /// Responds to a query with a digest and subscribes the sender to changes for
  /// a short time.
  void ReceiveQuestion(const wire::StoreQuestion& question);

  /// Sends a digest to each subscriber.
  void NotifySubscribers();

  /// Sends the digest of RespondWithDigest.
  void SendDigest(std::uint64_t known, const RequestTime& request,
                  const std::string& address);

  /// The change that made the present leader, packed; serves any number of
  /// DigestWithChanges calls.
  std::string PackLeaderRecord() const;
  /// A digest with packed changes, for receivers whose known revision is not
  /// known here.
  wire::StoreDigest DigestWithChanges(std::string changes) const;

  /// Handles a message of another instance if it concerns the store.
  void Receive(const wire::FleetMessage& message);

  /// Calls CheckRelays at a fixed interval; runs until the process ends.
  boost::asio::awaitable<void> QueryRelaysWhileStale();

  /// Queries a relay if the newest digest is stale, and logs what changed since
  /// the last call.
  void CheckRelays();

  /// Calls RequestMissingParts while parts of announced changes are missing;
  /// runs until the process ends.
  boost::asio::awaitable<void> RequestPartsWhileMissing();

  /// Requests parts of announced changes that do not arrive.
  void RequestMissingParts();

  /// Sends the parts of large changes that other instances have requested; runs
  /// until the process ends.
  boost::asio::awaitable<void> SendRequestedParts() {
    return this->large_sender.Run();
  }
  /// Sends those that are due.
  void SendDueParts() { this->large_sender.SendDue(); }

 private:
  /// Changes packed for all receivers that know the same revision.
  struct PackedDigestChanges {
    std::string bytes;
    std::uint64_t last = 0;  ///< revision of the last packed change
    bool complete = true;    ///< whether all small changes fit
    std::vector<wire::LargeChange> large_changes;
    /// Set if removals may be missing from the changes.
    std::optional<wire::ExistingKeys> existing;
  };
  /// An instance that queried this one recently.
  struct Subscriber {
    std::uint64_t known = 0;  ///< revision of the query
    RequestTime query;
  };

  std::optional<Instant> EarliestSendTime(
      const wire::StoreDigest& digest) const;
  void RecordUptime(const wire::StoreDigest& digest, Instant confirmed_at);
  const PackedDigestChanges* PackedChangesSince(std::uint64_t known);
  wire::ExistingKeys ExistingKeys() const;
  std::optional<wire::LargeChange> DescribeIfLarge(const StoreEvent& event);
  void ReceivePart(const wire::ChangePart& part);
  void QueryNextRelay();
  void QueryNeighbors();
  void QueryNextNeighbors();
  void Query(const std::string& address);
  bool IsRelay() const;
  bool ReliesOnNeighbor() const;
  void LogChanges();
  void LogOutage();

  boost::asio::io_context& context;
  FleetState& fleet;
  StoreSyncState& sync_state;
  const InstanceRecord self;
  Metrics& metrics;
  EventLog& log;
  const Clock clock;
  SendMessage send;
  LargeChangeSender large_sender;
  LargeChangeReceiver large_receiver;
  AsyncCondition parts_missing;
  std::function<void()> on_digest_applied;
  std::uint64_t packed_version = 0;
  /// By the known revision.
  std::map<std::uint64_t, PackedDigestChanges> packed;
  std::map<std::string, Subscriber> subscribers;  ///< by address
  std::size_t next_relay = 0;  ///< index of the next relay to query
  NeighborRotation neighbors;
  /// Address of the instance whose digest was the newest when it arrived.
  std::string freshest_source;
  bool had_live_relay = false;  ///< as last logged
  /// The end of the outage of the store that was logged last.
  std::optional<Instant> logged_outage_end;
  /// Since when this instance lacks urgent changes, if that was logged.
  std::optional<Instant> logged_behind_since;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_RELAY_H_
