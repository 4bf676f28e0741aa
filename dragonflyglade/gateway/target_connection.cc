#include "dragonflyglade/gateway/target_connection.h"

#include <algorithm>
#include <utility>

#include "dragonflyglade/gateway/peek_socket.h"

namespace dragonflyglade::gateway {
namespace {

// A target closes an idle connection at the life that it states, in whole
// seconds. A request that crosses the close may have run, so connections are
// dropped this much earlier; a request is on its way for milliseconds.
constexpr absl::Duration kLifeMargin = absl::Milliseconds(700);
// Life of connections whose target states none.
constexpr absl::Duration kUnstatedLife = absl::Seconds(2);
// More idle connections than this are of no use to one instance.
constexpr std::size_t kMostIdle = 16;

// Bytes or an end that wait to be read belong to no request: a late extra
// answer, or a target that closed. Such a connection must not be used.
bool IsQuiet(TargetConnection& connection) {
  if (connection.buffer.size() > 0) return false;
  return PeekSocket(connection.socket) == SocketState::kNoData;
}

}  // namespace

std::shared_ptr<TargetConnection> ConnectionPool::Take(Instant now) {
  while (!this->idle.empty()) {
    std::shared_ptr<TargetConnection> last = std::move(this->idle.back());
    this->idle.pop_back();
    if (now < last->usable_until && IsQuiet(*last)) return last;
  }
  return nullptr;
}

void ConnectionPool::Return(std::shared_ptr<TargetConnection> connection,
                            std::optional<absl::Duration> keep_alive,
                            Instant now) {
  const absl::Duration life =
      keep_alive.has_value() ? *keep_alive - kLifeMargin : kUnstatedLife;
  if (life <= absl::ZeroDuration()) return;
  connection->usable_until = now + life;
  if (this->idle.size() >= kMostIdle) this->idle.erase(this->idle.begin());
  this->idle.push_back(std::move(connection));
}

}  // namespace dragonflyglade::gateway
