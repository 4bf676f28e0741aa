#ifndef DRAGONFLYGLADE_GATEWAY_LARGE_CHANGE_SENDER_H_
#define DRAGONFLYGLADE_GATEWAY_LARGE_CHANGE_SENDER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>

#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/async_condition.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/change_parts.h"
#include "dragonflyglade/gateway/fleet_state.h"
#include "dragonflyglade/operator/metrics.h"
#include "dragonflyglade/peer/generated/fleet_types.h"

namespace dragonflyglade::gateway {

/// Sends the parts of large changes of the store to the instances that request
/// them, at no more than half of the rate of this instance's link. Used by one
/// event loop.
class LargeChangeSender {
 public:
  using SendMessage = std::function<void(const wire::FleetMessage& message,
                                         const std::string& address)>;

  /// @param link_mbps network bandwidth of this instance in Mbit/s
  LargeChangeSender(boost::asio::io_context& context, const FleetState& fleet,
                    double link_mbps, Metrics& metrics, Clock clock);

  /// Sets the function that sends messages; to be called before all others.
  void OnSend(SendMessage send) { this->send = std::move(send); }

  /// The packed form of a change; the last few are kept.
  std::shared_ptr<const PackedChange> Pack(const StoreEvent& event);

  /// Queues the requested parts. A request for a change that is not here has no
  /// effect: the sender asks another instance.
  void Receive(const wire::PartRequest& request);

  /// Sends the queued parts that are due; runs until the process ends.
  boost::asio::awaitable<void> Run();
  /// Sends as many queued parts as the link has had time for since the last
  /// call.
  void SendDue();

 private:
  struct CachedChange {
    std::string key;
    std::uint64_t revision = 0;
    std::shared_ptr<const PackedChange> change;
  };
  struct QueuedPart {
    std::string address;
    std::shared_ptr<const PackedChange> change;
    std::size_t number = 0;
  };
  /// Address, checksum and number of a part.
  using QueuedPartId = std::tuple<std::string, std::uint64_t, std::size_t>;

  static QueuedPartId IdOf(const QueuedPart& part);

  boost::asio::io_context& context;
  const FleetState& fleet;
  const double bytes_per_second;
  Metrics& metrics;
  const Clock clock;
  SendMessage send;
  std::deque<CachedChange> cache;
  std::deque<QueuedPart> queue;
  std::set<QueuedPartId> queued;
  AsyncCondition queue_grew;
  double available_bytes = 0;
  Instant last_sent;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_LARGE_CHANGE_SENDER_H_
