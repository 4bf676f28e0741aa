#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_CONNECTION_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade::gateway {

/// A connection to a target, with what was read from it and not yet used.
struct TargetConnection {
  explicit TargetConnection(boost::asio::io_context& context)
      : socket(context) {}

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Instant usable_until;  ///< while idle
};

/// The idle connections to one target.
class ConnectionPool {
 public:
  /// The idle connection that was used last, if one is sound: young enough,
  /// open, and with nothing to be read. Others that are not are closed.
  std::shared_ptr<TargetConnection> Take(Instant now);

  /// Keeps a connection that ended an exchange cleanly.
  /// @param keep_alive the idle life that the target stated, if it did
  void Return(std::shared_ptr<TargetConnection> connection,
              std::optional<absl::Duration> keep_alive, Instant now);

  std::size_t Idle() const { return this->idle.size(); }
  void Clear() { this->idle.clear(); }

 private:
  std::vector<std::shared_ptr<TargetConnection>> idle;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_CONNECTION_H_
