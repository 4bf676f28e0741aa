#include "dragonflyglade/decision/fair_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflyglade {

FairQueue::FairQueue(absl::Duration age_limit, int aged_turn_interval)
    : age_limit(age_limit),
      aged_turn_interval(std::max(2, aged_turn_interval)) {}

void FairQueue::Push(QueueEntry entry) {
  ClassQueue& class_queue =
      this->classes.at(static_cast<std::size_t>(entry.request_class));
  WorkspaceQueue& queue = class_queue.workspaces[entry.workspace];
  // A workspace that was idle starts at the current virtual time, so that it
  // does not accumulate credit while it is idle.
  if (queue.entries.empty()) {
    queue.virtual_finish =
        std::max(queue.virtual_finish, class_queue.virtual_time);
  }
  queue.entries.push_back(std::move(entry));
}

std::optional<std::size_t> FairQueue::FirstDispatchable(
    const WorkspaceQueue& queue, Search& search) const {
  for (std::size_t i = 0; i < queue.entries.size(); ++i) {
    const QueueEntry& entry = queue.entries[i];
    if (search.blocked_groups.count(entry.group) > 0) continue;
    if (search.can_dispatch(entry)) return i;
    search.blocked_groups.insert(entry.group);
  }
  return std::nullopt;
}

// Failure: a steady flow of chat requests keeps batch requests waiting until
// they miss their deadline. One of every few turns goes to the request of a
// lower class that has waited longest beyond the age limit. This bounds its
// delay, and the higher classes keep most of the turns.
std::optional<FairQueue::Position> FairQueue::FindAged(Instant now,
                                                       Search& search) const {
  if (this->turns % static_cast<std::uint64_t>(this->aged_turn_interval) != 0) {
    return std::nullopt;
  }
  std::optional<Position> oldest;
  Instant oldest_arrival = now - this->age_limit;
  for (int i = 1; i < kRequestClasses; ++i) {
    for (const auto& [name, queue] :
         this->classes.at(static_cast<std::size_t>(i)).workspaces) {
      if (queue.entries.empty()) continue;
      if (queue.entries.front().arrived > oldest_arrival) continue;
      oldest_arrival = queue.entries.front().arrived;
      oldest = Position{i, name, 0};
    }
  }
  if (!oldest.has_value()) return std::nullopt;
  const WorkspaceQueue& queue =
      this->classes.at(static_cast<std::size_t>(oldest->request_class))
          .workspaces.at(oldest->workspace);
  if (!search.can_dispatch(queue.entries.front())) return std::nullopt;
  return oldest;
}

std::optional<FairQueue::Position> FairQueue::FindInClass(
    int request_class, Search& search) const {
  const ClassQueue& class_queue =
      this->classes.at(static_cast<std::size_t>(request_class));
  std::vector<std::pair<double, std::string_view>> order;
  for (const auto& [name, queue] : class_queue.workspaces) {
    if (!queue.entries.empty()) order.emplace_back(queue.virtual_finish, name);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [virtual_finish, name] : order) {
    const std::optional<std::size_t> index = this->FirstDispatchable(
        class_queue.workspaces.find(name)->second, search);
    if (index.has_value()) {
      return Position{request_class, std::string(name), *index};
    }
  }
  return std::nullopt;
}

std::optional<FairQueue::Position> FairQueue::FindNext(Instant now,
                                                       Search& search) const {
  if (std::optional<Position> aged = this->FindAged(now, search)) return aged;
  for (int i = 0; i < kRequestClasses; ++i) {
    if (std::optional<Position> position = this->FindInClass(i, search)) {
      return position;
    }
  }
  return std::nullopt;
}

QueueEntry FairQueue::Dequeue(const Position& position) {
  ++this->turns;
  ClassQueue& class_queue =
      this->classes.at(static_cast<std::size_t>(position.request_class));
  WorkspaceQueue& queue = class_queue.workspaces.at(position.workspace);
  const auto request =
      queue.entries.begin() + static_cast<std::ptrdiff_t>(position.index);
  QueueEntry entry = std::move(*request);
  queue.entries.erase(request);
  class_queue.virtual_time =
      std::max(class_queue.virtual_time, queue.virtual_finish);
  queue.virtual_finish += entry.cost;
  return entry;
}

std::optional<QueueEntry> FairQueue::PopFirstDispatchable(
    Instant now, const CanDispatch& can_dispatch) {
  Search search{can_dispatch, {}};
  const std::optional<Position> position = this->FindNext(now, search);
  if (!position.has_value()) return std::nullopt;
  return this->Dequeue(*position);
}

std::optional<QueueEntry> FairQueue::Pop(Instant now) {
  return this->PopFirstDispatchable(now,
                                    [](const QueueEntry&) { return true; });
}

bool FairQueue::Remove(std::uint64_t id) {
  for (ClassQueue& class_queue : this->classes) {
    for (auto& [name, queue] : class_queue.workspaces) {
      const auto found = std::find_if(
          queue.entries.begin(), queue.entries.end(),
          [id](const QueueEntry& entry) { return entry.id == id; });
      if (found == queue.entries.end()) continue;
      queue.entries.erase(found);
      return true;
    }
  }
  return false;
}

std::size_t FairQueue::Size() const {
  std::size_t size = 0;
  for (const ClassQueue& class_queue : this->classes) {
    for (const auto& [name, queue] : class_queue.workspaces)
      size += queue.entries.size();
  }
  return size;
}

}  // namespace dragonflyglade
