#include "dragonflyglade/decision/unreported_grants.h"

#include <algorithm>
#include <utility>

namespace dragonflyglade {

UnreportedGrants::UnreportedGrants(absl::Duration window, Clock clock)
    : window(window), clock(std::move(clock)) {}

bool UnreportedGrants::Add(std::string_view process, std::int64_t number,
                           std::string_view workspace, double tokens) {
  std::vector<Grant>& open = this->grants[std::string(process)];
  const bool known =
      std::any_of(open.begin(), open.end(),
                  [&](const Grant& grant) { return grant.number == number; });
  if (known) return false;
  open.push_back({number, std::string(workspace), tokens, this->clock.Now()});
  return true;
}

void UnreportedGrants::Reported(std::string_view process,
                                std::int64_t through) {
  const auto found = this->grants.find(process);
  if (found == this->grants.end()) return;
  std::erase_if(found->second,
                [&](const Grant& grant) { return grant.number <= through; });
  if (found->second.empty()) this->grants.erase(found);
}

// A process that ended before it reported a grant may have spent it, so the
// grant counts until its window is over.
double UnreportedGrants::Open(std::string_view workspace) {
  const Instant now = this->clock.Now();
  double open = 0;
  for (auto item = this->grants.begin(); item != this->grants.end();) {
    std::erase_if(item->second, [&](const Grant& grant) {
      return now - grant.at > this->window;
    });
    for (const Grant& grant : item->second) {
      if (grant.workspace == workspace) open += grant.tokens;
    }
    item = item->second.empty() ? this->grants.erase(item) : std::next(item);
  }
  return open;
}

}  // namespace dragonflyglade
