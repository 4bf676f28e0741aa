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

/// The quota grants that the leader has made and that the instances' reports of
/// spending do not cover yet. Not synchronised.
class UnreportedGrants {
 public:
  /// @param window time after which a grant is dropped even if unreported
  UnreportedGrants(absl::Duration window, Clock clock);

  /// Records a grant. Idempotent: a number that the process has used already
  /// denotes the same grant.
  /// @param process the process that asked for the grant
  /// @param number of the grant; increases within a process
  /// @return whether the grant is new
  bool Add(std::string_view process, std::int64_t number,
           std::string_view workspace, double tokens);

  /// Whether a process's grant of this number is recorded.
  bool Contains(std::string_view process, std::int64_t number) const;

  /// Drops the grants of a process up to a number, since its report covers
  /// them.
  /// @return the tokens of the dropped grants by workspace
  std::map<std::string, double, std::less<>> MarkReported(
      std::string_view process, std::int64_t through);

  /// Tokens that were granted to a workspace and are not reported yet.
  /// Complexity: linear in the unreported grants of all workspaces.
  double UnreportedTokens(std::string_view workspace);

  void Clear() { this->grants.clear(); }

 private:
  struct Grant {
    std::int64_t number = 0;
    std::string workspace;
    double tokens = 0;
    Instant granted_at;
  };

  const absl::Duration window;
  const Clock clock;
  std::map<std::string, std::vector<Grant>, std::less<>>
      grants;  ///< by process
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_UNREPORTED_GRANTS_H_
