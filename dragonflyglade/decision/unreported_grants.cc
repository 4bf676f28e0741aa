#include "dragonflyglade/decision/unreported_grants.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {

UnreportedGrants::UnreportedGrants(absl::Duration window, Clock clock)
    : window(window), clock(std::move(clock)) {}

bool UnreportedGrants::Add(std::string_view process, std::int64_t number,
                           std::string_view workspace, double tokens) {
  if (this->Contains(process, number)) return false;
  this->grants[std::string(process)].push_back(
      {number, std::string(workspace), tokens, this->clock.Now()});
  return true;
}

bool UnreportedGrants::Contains(std::string_view process,
                                std::int64_t number) const {
  const auto found = this->grants.find(process);
  if (found == this->grants.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(),
      [&](const Grant& grant) { return grant.number == number; });
}

std::map<std::string, double, std::less<>> UnreportedGrants::MarkReported(
    std::string_view process, std::int64_t through) {
  std::map<std::string, double, std::less<>> reported;
  const auto found = this->grants.find(process);
  if (found == this->grants.end()) return reported;
  std::erase_if(found->second, [&](const Grant& grant) {
    if (grant.number > through) return false;
    reported[grant.workspace] += grant.tokens;
    return true;
  });
  if (found->second.empty()) this->grants.erase(found);
  return reported;
}

// A process that terminated before it reported a grant may have spent it, so
// the grant counts for a whole window.
double UnreportedGrants::UnreportedTokens(std::string_view workspace) {
  const Instant now = this->clock.Now();
  double open = 0;
  for (auto item = this->grants.begin(); item != this->grants.end();) {
    std::erase_if(item->second, [&](const Grant& grant) {
      return now - grant.granted_at > this->window;
    });
    for (const Grant& grant : item->second) {
      if (grant.workspace == workspace) open += grant.tokens;
    }
    item = item->second.empty() ? this->grants.erase(item) : std::next(item);
  }
  return open;
}

}  // namespace dragonflyglade
