#ifndef DRAGONFLYGLADE_DECISION_FAIR_QUEUE_H_
#define DRAGONFLYGLADE_DECISION_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"
#include "dragonflyglade/decision/request_class.h"

namespace dragonflyglade {

/// A request that waits for a target.
struct QueueEntry {
  std::uint64_t id = 0;
  std::string workspace;
  RequestClass request_class = RequestClass::kChat;
  double cost = 0;  ///< tokens
  /// Requests of one group need the same targets: if one of them cannot be
  /// dispatched, none can.
  std::string group;
  Instant arrived;
};

/// Decides in which order waiting requests are dispatched. Not thread-safe.
///
/// A higher request class goes before a lower one. Within a class, the
/// workspace that has received the least service goes first (start-time fair
/// queueing by cost), so a burst of one workspace delays only its own requests.
/// One of every few turns goes to a request of a lower class that has waited
/// longer than the age limit, so that lower classes do not starve.
class FairQueue {
 public:
  /// @param age_limit wait after which a request of a lower class is aged
  /// @param aged_turn_interval one of this many turns goes to an aged request
  FairQueue(absl::Duration age_limit, int aged_turn_interval);

  void Push(QueueEntry entry);

  /// Tells whether a request can be dispatched now.
  using CanDispatch = std::function<bool(const QueueEntry&)>;

  /// Removes and returns the first request in the fair order that can be
  /// dispatched, so that a model whose targets are busy does not block requests
  /// for other models. Returns nothing if no request can be dispatched.
  /// Complexity: linear in the waiting requests in the worst case.
  std::optional<QueueEntry> PopFirstDispatchable(
      Instant now, const CanDispatch& can_dispatch);

  /// Removes and returns the first request in the fair order, if there is one.
  std::optional<QueueEntry> Pop(Instant now);

  /// Removes a request that was given up. Returns false if it is not queued.
  bool Remove(std::uint64_t id);

  std::size_t Size() const;

 private:
  struct WorkspaceQueue {
    std::deque<QueueEntry> entries;
    /// Virtual time at which the service of its last dispatched request ends.
    double virtual_finish = 0;
  };
  struct ClassQueue {
    std::map<std::string, WorkspaceQueue, std::less<>> workspaces;
    double virtual_time = 0;
  };
  // Where a request is queued.
  struct Position {
    int request_class = 0;
    std::string workspace;
    std::size_t index = 0;
  };
  // One search for a request that can be dispatched.
  struct Search {
    const CanDispatch& can_dispatch;
    std::set<std::string, std::less<>> blocked_groups;
  };

  std::optional<Position> FindNext(Instant now, Search& search) const;
  std::optional<Position> FindAged(Instant now, Search& search) const;
  std::optional<Position> FindInClass(int request_class, Search& search) const;
  std::optional<std::size_t> FirstDispatchable(const WorkspaceQueue& queue,
                                               Search& search) const;
  QueueEntry Dequeue(const Position& position);

  const absl::Duration age_limit;
  const int aged_turn_interval;
  std::array<ClassQueue, kRequestClasses> classes;
  std::uint64_t turns = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_FAIR_QUEUE_H_
