#include "dragonflyglade/decision/fair_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflyglade {

FairQueue::FairQueue(absl::Duration age_limit, int aged_turn_interval)
    : age_limit(age_limit),
      aged_turn_interval(std::max(2, aged_turn_interval)) {}

void FairQueue::Push(QueueEntry entry) {
  ClassQueue& queue =
      this->classes.at(static_cast<std::size_t>(entry.request_class));
  Line& line = queue.lines[entry.workspace];
  // A workspace that was idle starts at the present virtual time: it may not
  // save up turns for later.
  if (line.entries.empty()) {
    line.finish = std::max(line.finish, queue.virtual_time);
  }
  line.entries.push_back(std::move(entry));
}

std::optional<std::size_t> FairQueue::FirstPlaceable(const Line& line,
                                                     Search& search) const {
  for (std::size_t i = 0; i < line.entries.size(); ++i) {
    const QueueEntry& entry = line.entries[i];
    if (search.stuck_groups.count(entry.group) > 0) continue;
    if (search.can_place(entry)) return i;
    search.stuck_groups.insert(entry.group);
  }
  return std::nullopt;
}

// Failure: a steady flow of chat keeps batch letters waiting until they miss
// their notice window. Every few turns belong to the request of a lower class
// that waited longest beyond the limit, which bounds its delay while the
// higher classes keep most of the turns.
std::optional<FairQueue::Choice> FairQueue::ChooseAged(Instant now,
                                                       Search& search) const {
  if (this->turns % static_cast<std::uint64_t>(this->aged_turn_interval) != 0) {
    return std::nullopt;
  }
  std::optional<Choice> oldest;
  Instant oldest_arrival = now - this->age_limit;
  for (int i = 1; i < kRequestClasses; ++i) {
    for (const auto& [name, line] :
         this->classes.at(static_cast<std::size_t>(i)).lines) {
      if (line.entries.empty()) continue;
      if (line.entries.front().arrived > oldest_arrival) continue;
      oldest_arrival = line.entries.front().arrived;
      oldest = Choice{i, name, 0};
    }
  }
  if (!oldest.has_value()) return std::nullopt;
  const Line& line =
      this->classes.at(static_cast<std::size_t>(oldest->request_class))
          .lines.at(oldest->workspace);
  if (!search.can_place(line.entries.front())) return std::nullopt;
  return oldest;
}

std::optional<FairQueue::Choice> FairQueue::ChooseInClass(
    int request_class, Search& search) const {
  const ClassQueue& queue =
      this->classes.at(static_cast<std::size_t>(request_class));
  std::vector<std::pair<double, std::string_view>> order;
  for (const auto& [name, line] : queue.lines) {
    if (!line.entries.empty()) order.emplace_back(line.finish, name);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [finish, name] : order) {
    const std::optional<std::size_t> index =
        this->FirstPlaceable(queue.lines.find(name)->second, search);
    if (index.has_value()) {
      return Choice{request_class, std::string(name), *index};
    }
  }
  return std::nullopt;
}

std::optional<FairQueue::Choice> FairQueue::Choose(Instant now,
                                                   Search& search) const {
  if (std::optional<Choice> aged = this->ChooseAged(now, search)) return aged;
  for (int i = 0; i < kRequestClasses; ++i) {
    if (std::optional<Choice> choice = this->ChooseInClass(i, search)) {
      return choice;
    }
  }
  return std::nullopt;
}

QueueEntry FairQueue::Take(const Choice& choice) {
  ++this->turns;
  ClassQueue& queue =
      this->classes.at(static_cast<std::size_t>(choice.request_class));
  Line& line = queue.lines.at(choice.workspace);
  const auto position =
      line.entries.begin() + static_cast<std::ptrdiff_t>(choice.index);
  QueueEntry entry = std::move(*position);
  line.entries.erase(position);
  queue.virtual_time = std::max(queue.virtual_time, line.finish);
  line.finish += entry.cost;
  return entry;
}

std::optional<QueueEntry> FairQueue::PopFirstDispatchable(
    Instant now, const CanDispatch& can_place) {
  Search search{can_place, {}};
  const std::optional<Choice> choice = this->Choose(now, search);
  if (!choice.has_value()) return std::nullopt;
  return this->Take(*choice);
}

std::optional<QueueEntry> FairQueue::Pop(Instant now) {
  return this->PopFirstDispatchable(now,
                                    [](const QueueEntry&) { return true; });
}

bool FairQueue::Remove(std::uint64_t id) {
  for (ClassQueue& queue : this->classes) {
    for (auto& [name, line] : queue.lines) {
      const auto found = std::find_if(
          line.entries.begin(), line.entries.end(),
          [id](const QueueEntry& entry) { return entry.id == id; });
      if (found == line.entries.end()) continue;
      line.entries.erase(found);
      return true;
    }
  }
  return false;
}

std::size_t FairQueue::Size() const {
  std::size_t size = 0;
  for (const ClassQueue& queue : this->classes) {
    for (const auto& [name, line] : queue.lines) size += line.entries.size();
  }
  return size;
}

}  // namespace dragonflyglade
