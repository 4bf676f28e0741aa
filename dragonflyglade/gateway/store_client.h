#ifndef DRAGONFLYGLADE_GATEWAY_STORE_CLIENT_H_
#define DRAGONFLYGLADE_GATEWAY_STORE_CLIENT_H_

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/gateway/awaitable.h"
#include "dragonflyglade/gateway/store_types.h"
#include "dragonflyglade/gateway/target_connection.h"
#include "dragonflyglade/gateway/wire_format.h"
#include "dragonflyglade/net/endpoint.h"
#include "dragonflyglade/operator/metrics.h"

namespace dragonflyglade::gateway {

/// Calls to the store, each with a time-out of its own. A connection on which
/// an answer failed to come is never used again. One event loop.
class StoreClient {
 public:
  StoreClient(boost::asio::io_context& context, Endpoint store,
              const WireFormat& wire, Metrics& metrics, Clock clock);

  /// @param timeout until the answer begins; it goes on while bytes come
  /// @return StoreOutcomeUnknown if the call may have been carried out unheard
  boost::asio::awaitable<StoreResponse> Call(StoreCall call,
                                             absl::Duration timeout);

 private:
  boost::asio::io_context& context;
  const std::string address;
  const WireFormat& wire;
  Metrics& metrics;
  const Clock clock;
  ConnectionPool connections;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_STORE_CLIENT_H_
