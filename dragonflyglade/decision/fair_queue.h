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

/// A request that waits for a place at a target.
struct QueueEntry {
  std::uint64_t id = 0;
  std::string workspace;
  RequestClass request_class = RequestClass::kChat;
  double cost = 0;  ///< tokens
  /// Requests of one group can be placed alike: if one cannot, none can.
  std::string group;
  Instant arrived;
};

/// The order in which waiting requests are served. Not synchronised.
///
/// Classes go in order; within one, the workspace with the least service so
/// far goes first (start-time fair queueing by cost), so a flood of one
/// workspace delays only itself. A batch request that waited past the age
/// limit takes one turn in every few, so it is late but never left out.
class FairQueue {
 public:
  /// @param age_limit wait after which a lower class gets turns
  /// @param aged_turn_interval one of so many turns goes to the aged
  FairQueue(absl::Duration age_limit, int aged_turn_interval);

  void Push(QueueEntry entry);

  /// Says whether a request can be placed now.
  using CanDispatch = std::function<bool(const QueueEntry&)>;

  /// Takes the first request in the fair order that can be placed, so that a
  /// model whose targets are busy does not hold up the others.
  /// Complexity: linear in the waiting requests at the worst.
  std::optional<QueueEntry> PopFirstDispatchable(Instant now,
                                                 const CanDispatch& can_place);

  /// Takes the next request, if any waits.
  std::optional<QueueEntry> Pop(Instant now);

  /// Takes a request out that is given up. False if it is not there.
  bool Remove(std::uint64_t id);

  std::size_t Size() const;

 private:
  struct Line {
    std::deque<QueueEntry> entries;
    double finish = 0;  ///< virtual time at which its last turn ends
  };
  struct ClassQueue {
    std::map<std::string, Line, std::less<>> lines;
    double virtual_time = 0;
  };
  // A line and the place in it, with the class it belongs to.
  struct Choice {
    int request_class = 0;
    std::string workspace;
    std::size_t index = 0;
  };
  struct Search {
    const CanDispatch& can_place;
    std::set<std::string, std::less<>> stuck_groups;
  };

  std::optional<Choice> Choose(Instant now, Search& search) const;
  std::optional<Choice> ChooseAged(Instant now, Search& search) const;
  std::optional<Choice> ChooseInClass(int request_class, Search& search) const;
  std::optional<std::size_t> FirstPlaceable(const Line& line,
                                            Search& search) const;
  QueueEntry Take(const Choice& choice);

  const absl::Duration age_limit;
  const int aged_turn_interval;
  std::array<ClassQueue, kRequestClasses> classes;
  std::uint64_t turns = 0;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_FAIR_QUEUE_H_
