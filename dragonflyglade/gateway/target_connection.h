#ifndef DRAGONFLYGLADE_GATEWAY_TARGET_CONNECTION_H_
#define DRAGONFLYGLADE_GATEWAY_TARGET_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade::gateway {

/// The longest head of a response.
inline constexpr std::uint32_t kMaxHeadBytes = 65536;

/// A connection to a target, with the bytes that were read but not consumed: a
/// head, or what frames the body's chunks.
struct TargetConnection {
  explicit TargetConnection(boost::asio::io_context& context)
      : socket(context), buffer(kMaxUnparsedBytes) {}

  static constexpr std::size_t kMaxUnparsedBytes = kMaxHeadBytes + (16u << 10);

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Instant usable_until;  ///< when an idle connection expires
  /// If it is a tunnel: its id, and the address of the other instance.
  std::string tunnel_id;
  std::string tunnel_peer;
  int exchanges = 0;  ///< that were begun on it
};

/// The connections on which the attempts of one request were sent. Not
/// synchronised.
class UsedConnections {
 public:
  void Add(const std::shared_ptr<TargetConnection>& connection);
  bool Contains(const TargetConnection& connection) const;

 private:
  std::vector<std::weak_ptr<const TargetConnection>> connections;
};

/// Which connections of a pool an exchange can use.
struct ConnectionNeeds {
  /// Connections that stay in the pool; may be null.
  const UsedConnections* excluded = nullptr;
  /// The response must be told from those to earlier requests.
  bool by_request_id = false;
};

/// The pool of idle connections to one target.
class ConnectionPool {
 public:
  /// Removes and returns the most recently used connection that is usable: not
  /// expired, open, and without unread bytes. Unusable ones found on the way
  /// are closed.
  /// @return null if there is none
  std::shared_ptr<TargetConnection> Acquire(Instant now,
                                            ConnectionNeeds needs = {});

  /// Records whether the response to a request with an id had that id.
  void RecordResponse(bool names_request) {
    this->names_requests = names_request;
  }

  /// Adds a connection whose exchange completed cleanly.
  /// @param keep_alive the idle timeout that the target stated, if it did
  void Release(std::shared_ptr<TargetConnection> connection,
               std::optional<absl::Duration> keep_alive, Instant now);

  std::size_t Idle() const { return this->idle.size(); }
  void Clear() { this->idle.clear(); }

 private:
  bool IsEligible(const TargetConnection& connection,
                  const ConnectionNeeds& needs) const;

  std::vector<std::shared_ptr<TargetConnection>> idle;
  bool names_requests = false;  ///< the target's last response did
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_TARGET_CONNECTION_H_
