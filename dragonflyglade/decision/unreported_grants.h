#ifndef DRAGONFLYGLADE_DECISION_UNREPORTED_GRANTS_H_
#define DRAGONFLYGLADE_DECISION_UNREPORTED_GRANTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// What was granted of quotas and is not yet among what instances report as
/// spent. Kept where the fleet's spending is summed up. Not synchronised.
class UnreportedGrants {
 public:
  /// @param window after which a grant counts no longer in any case
  UnreportedGrants(absl::Duration window, Clock clock);

  /// Books a grant. The same number of a process again is the same grant.
  /// @param process that asked; numbers grow within it
  /// @return whether it is new
  bool Add(std::string_view process, std::int64_t number,
           std::string_view workspace, double tokens);

  /// The process's report counts all its grants up to this number.
  void Reported(std::string_view process, std::int64_t through);

  /// Tokens granted and not yet reported.
  /// Complexity: linear in the open grants.
  double Open(std::string_view workspace);

  void Clear() { this->grants.clear(); }

 private:
  struct Grant {
    std::int64_t number = 0;
    std::string workspace;
    double tokens = 0;
    Instant at;
  };

  const absl::Duration window;
  const Clock clock;
  std::map<std::string, std::vector<Grant>, std::less<>> grants;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_UNREPORTED_GRANTS_H_
