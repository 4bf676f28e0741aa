#ifndef DRAGONFLYGLADE_DECISION_ALLOTMENT_H_
#define DRAGONFLYGLADE_DECISION_ALLOTMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Shares are counted in millionths of a workspace's rate and burst.
inline constexpr std::int64_t kFullShareMillionths = 1'000'000;

/// One holder's part of a workspace's rate.
struct OwnerShare {
  std::string instance;
  std::int64_t incarnation = 0;  ///< the process start that holds the share
  std::int64_t share = 0;        ///< millionths that it may use from now on
  std::int64_t held = 0;         ///< millionths that it may still be using
  std::int64_t listed_at = 0;    ///< list version that named the instance

  bool operator==(const OwnerShare& other) const;
};

/// Who may use which part of a workspace's rate. Kept in the key-value
/// service; it never expires, so an outage changes nothing.
struct Allotment {
  std::string workspace;
  std::int64_t epoch = 0;
  std::vector<OwnerShare> holders;

  bool operator==(const Allotment& other) const;
};

/// An instance as the platform's list and its heartbeats show it.
struct OwnerCandidate {
  std::string instance;
  std::int64_t incarnation = 0;
};

/// What a step of the allotment is decided from.
struct AllotmentInputs {
  /// Instances that should hold shares: live, listed and not leaving.
  std::vector<OwnerCandidate> wanted;
  /// Names on the platform's list, leaving ones included.
  std::set<std::string> listed;
  std::int64_t list_version = 0;
  /// For each holder, the incarnation that answers at its address now.
  std::map<std::string, std::int64_t> answering;
  /// For each holder, the epoch that it said it follows.
  std::map<std::string, std::int64_t> confirmed;
  /// Holders that have been gone for long enough; see TerminatedOwners.
  std::set<std::pair<std::string, std::int64_t>> settled;
};

/// Whether a holder's process has certainly ended.
bool HasTerminated(const OwnerShare& holder, const AllotmentInputs& view);

/// Knows for how long holders have been gone. Not synchronised.
class TerminatedOwners {
 public:
  /// @param settle how long after its end a holder's loans may be spent
  TerminatedOwners(absl::Duration settle, Clock clock);

  /// Takes note of who is gone by a view.
  /// @return the holders, with their incarnations, gone for the settle time
  std::set<std::pair<std::string, std::int64_t>> UpdateReclaimable(
      const Allotment& allotment, const AllotmentInputs& view);

 private:
  const absl::Duration settle;
  const Clock clock;
  std::map<std::pair<std::string, std::int64_t>, Instant> since;
};

/// The next allotment, or nothing when the current one stands.
///
/// The sum over holders of max(share, held) never exceeds kFullShareMillionths:
/// shares shrink first, and grow only by what confirmed or gone holders gave
/// up. Complexity: O(n log n) in the holders and candidates.
std::optional<Allotment> PlanNextAllotment(const Allotment& current,
                                           const AllotmentInputs& view);

/// The part that one process may use under an allotment, in millionths.
std::int64_t ShareOf(const Allotment& allotment, std::string_view instance,
                     std::int64_t incarnation);

/// The part that holders may be using at the most, in millionths.
std::int64_t MaxTotalInUse(const Allotment& allotment);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_ALLOTMENT_H_
