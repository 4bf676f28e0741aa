#ifndef DRAGONFLYGLADE_GATEWAY_CONNECTION_LIMIT_H_
#define DRAGONFLYGLADE_GATEWAY_CONNECTION_LIMIT_H_

#include <array>
#include <cstddef>
#include <functional>
#include <list>

#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade::gateway {

/// What an instance waits for on a caller's connection.
enum class CallerWait {
  kRequest,         ///< the first byte of a request
  kRestOfRequest,   ///< the rest of a head or a body
  kResponseIsRead,  ///< that the caller takes what is written
};

/// Limits the connections that are open at a listener. When there are as many
/// as allowed, a new one takes the place of the one that has waited longest for
/// its caller. Connections with a request that is being served stay. Used on
/// one event loop.
class ConnectionLimit {
 public:
  ConnectionLimit(std::size_t most, Clock clock)
      : most(most), clock(std::move(clock)) {}
  ConnectionLimit(const ConnectionLimit&) = delete;
  ConnectionLimit& operator=(const ConnectionLimit&) = delete;

  /// An open connection.
  class Entry {
   public:
    /// @param end ends the connection at once
    Entry(ConnectionLimit& connections, std::function<void()> end);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    /// The connection waits for its caller from now on.
    void BeginWait(CallerWait wait);
    void EndWait();

   private:
    friend class ConnectionLimit;
    using List = std::list<Entry*>;

    ConnectionLimit& connections;
    const std::function<void()> end;
    Instant since;          ///< when the wait began
    List* waits = nullptr;  ///< the list that it is in, if it waits
    bool ended = false;
    List::iterator position;
  };

  /// Makes room for one more connection.
  /// @return false if there is none, since all have requests in progress
  bool MakeRoom();

  std::size_t Open() const { return this->open; }

 private:
  static constexpr std::size_t kWaits = 3;

  Entry* LongestWait(CallerWait wait) const;
  void End(Entry& entry);

  const std::size_t most;
  const Clock clock;
  std::size_t open = 0;
  /// By CallerWait; the longest wait first.
  std::array<std::list<Entry*>, kWaits> waiting;
};

}  // namespace dragonflyglade::gateway

#endif  // DRAGONFLYGLADE_GATEWAY_CONNECTION_LIMIT_H_
