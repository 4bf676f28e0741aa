#include "measure/history/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace dragonflyglade {
namespace {

// Allows for rounding errors of floating-point sums over a long history.
constexpr double kToleranceTokens = 1e-3;

template <typename T>
std::vector<T> EventsOfType(const std::vector<HistoryEvent>& events) {
  std::vector<T> found;
  for (const HistoryEvent& event : events) {
    if (const auto* match = std::get_if<T>(&event)) found.push_back(*match);
  }
  return found;
}

}  // namespace

void History::Add(HistoryEvent event) {
  absl::MutexLock lock(&this->mutex);
  this->events.push_back(std::move(event));
}

std::vector<HistoryEvent> History::Events() const {
  absl::MutexLock lock(&this->mutex);
  return this->events;
}

// The largest overshoot occurs in a window that begins and ends at an
// admission. Let S(i) be the sum of the charges before the i-th and t(i) its
// time. A window from i to j exceeds the bound by S(j+1) - S(i) - rate * (t(j)
// - t(i)) - burst, so a single pass that tracks the minimum of S(i) - rate *
// t(i) finds the maximum.
double LargestOvershoot(const std::vector<HistoryEvent>& events,
                        const std::string& workspace, double rate,
                        double burst) {
  std::vector<std::pair<Instant, double>> charges;
  for (const AdmittedEvent& event : EventsOfType<AdmittedEvent>(events)) {
    if (event.workspace == workspace) {
      charges.emplace_back(event.at, event.tokens);
    }
  }
  for (const UnusedEvent& event : EventsOfType<UnusedEvent>(events)) {
    if (event.workspace == workspace) {
      charges.emplace_back(event.admitted_at, -event.tokens);
    }
  }
  // At equal times, refunds (negative charges) sort before admissions. The loop
  // below adds all charges of one time before it evaluates the window.
  std::sort(charges.begin(), charges.end());
  double largest = -burst;
  double sum = 0;
  double smallest_start = 0;
  bool started = false;
  for (std::size_t i = 0; i < charges.size();) {
    const Instant at = charges[i].first;
    const double seconds = absl::ToDoubleSeconds(at);
    const double start = sum - rate * seconds;
    if (!started || start < smallest_start) smallest_start = start;
    started = true;
    for (; i < charges.size() && charges[i].first == at; ++i) {
      sum += charges[i].second;
    }
    largest = std::max(largest, sum - rate * seconds - smallest_start - burst);
  }
  return largest;
}

Violations CheckRateWindows(const std::vector<HistoryEvent>& events,
                            const std::string& workspace, double rate,
                            double burst) {
  const double overshoot = LargestOvershoot(events, workspace, rate, burst);
  if (overshoot <= kToleranceTokens) return {};
  return {fmt::format("{} got {} tokens above its rate and burst", workspace,
                      overshoot)};
}

Violations CheckAtMostOnce(const std::vector<HistoryEvent>& events) {
  std::map<std::string, int> runs;
  for (const RanEvent& event : EventsOfType<RanEvent>(events))
    ++runs[event.call];
  Violations violations;
  for (const auto& [call, count] : runs) {
    if (count > 1) {
      violations.push_back(fmt::format("{} ran {} times", call, count));
    }
  }
  for (const ToldNotRunEvent& event : EventsOfType<ToldNotRunEvent>(events)) {
    if (runs.count(event.call) == 0) continue;
    violations.push_back(
        fmt::format("{} ran although its caller was told not", event.call));
  }
  return violations;
}

Violations CheckConfigNeverBack(const std::vector<HistoryEvent>& events) {
  std::map<std::pair<std::string, std::string>, std::int64_t> newest;
  Violations violations;
  for (const InForceEvent& event : EventsOfType<InForceEvent>(events)) {
    std::int64_t& seen = newest[{event.instance, event.key}];
    if (event.revision < seen) {
      violations.push_back(fmt::format("{} went from {} back to {} at {}",
                                       event.key, seen, event.revision,
                                       event.instance));
    }
    seen = std::max(seen, event.revision);
  }
  return violations;
}

Violations CheckOwnAnswers(const std::vector<HistoryEvent>& events) {
  Violations violations;
  for (const AnswerEvent& event : EventsOfType<AnswerEvent>(events)) {
    if (event.received == event.expected) continue;
    violations.push_back(
        fmt::format("expected '{}', got '{}'", event.expected, event.received));
  }
  return violations;
}

Violations CheckMemory(const std::vector<HistoryEvent>& events) {
  Violations violations;
  for (const MemoryEvent& event : EventsOfType<MemoryEvent>(events)) {
    if (event.used <= event.capacity) continue;
    violations.push_back(fmt::format("{} held {} of {} bytes", event.target,
                                     event.used, event.capacity));
  }
  return violations;
}

}  // namespace dragonflyglade
