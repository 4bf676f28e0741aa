#include "dragonflyglade/gateway/target_connection.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/gateway/peek_socket.h"

namespace dragonflyglade::gateway {
namespace {

// A target closes an idle connection after the idle timeout that it states in
// whole seconds. If it closes while a request is in transit, the outcome of the
// request is unknown. Connections therefore expire this much earlier; a request
// is in transit for milliseconds.
constexpr absl::Duration kIdleTimeoutMargin = absl::Milliseconds(700);
// Idle timeout of connections whose target states none.
constexpr absl::Duration kDefaultIdleTimeout = absl::Seconds(2);
// One instance has no use for more idle connections to a target.
constexpr std::size_t kMaxIdleCount = 16;

// Unread bytes on an idle connection are a late duplicate response, and an
// unread end means that the target closed it. Neither connection may be reused.
bool HasNoData(TargetConnection& connection) {
  if (connection.buffer.size() > 0) return false;
  return PeekSocket(connection.socket) == SocketState::kNoData;
}

}  // namespace

void UsedConnections::Add(const std::shared_ptr<TargetConnection>& connection) {
  this->connections.push_back(connection);
}

bool UsedConnections::Contains(const TargetConnection& connection) const {
  return std::any_of(
      this->connections.begin(), this->connections.end(),
      [&](const auto& used) { return used.lock().get() == &connection; });
}

// A target that names no requests gets a connection for each.
bool ConnectionPool::IsEligible(const TargetConnection& connection,
                                const ConnectionNeeds& needs) const {
  if (needs.excluded != nullptr && needs.excluded->Contains(connection)) {
    return false;
  }
  return !needs.by_request_id || this->names_requests ||
         connection.exchanges == 0;
}

std::shared_ptr<TargetConnection> ConnectionPool::Acquire(
    Instant now, ConnectionNeeds needs) {
  std::size_t place = this->idle.size();
  while (place > 0) {
    place -= 1;
    const std::shared_ptr<TargetConnection> connection = this->idle[place];
    if (!this->IsEligible(*connection, needs)) continue;
    this->idle.erase(this->idle.begin() + static_cast<std::ptrdiff_t>(place));
    if (now < connection->usable_until && HasNoData(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::Release(std::shared_ptr<TargetConnection> connection,
                             std::optional<absl::Duration> keep_alive,
                             Instant now) {
  const absl::Duration idle_timeout = keep_alive.has_value()
                                          ? *keep_alive - kIdleTimeoutMargin
                                          : kDefaultIdleTimeout;
  if (idle_timeout <= absl::ZeroDuration()) return;
  connection->usable_until = now + idle_timeout;
  if (this->idle.size() >= kMaxIdleCount) this->idle.erase(this->idle.begin());
  this->idle.push_back(std::move(connection));
}

}  // namespace dragonflyglade::gateway
