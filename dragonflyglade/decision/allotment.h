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

/// The whole of a workspace's rate and burst. Shares are counted in millionths
/// of it.
inline constexpr std::int64_t kFullShareMillionths = 1'000'000;

/// The share of a workspace's rate that one instance owns.
struct OwnerShare {
  std::string instance;
  std::int64_t incarnation = 0;   ///< of the process that owns the share
  std::int64_t share = 0;         ///< millionths that it may use from now on
  std::int64_t in_use = 0;        ///< millionths that it may still be using
  std::int64_t list_version = 0;  ///< list version when the share was granted

  bool operator==(const OwnerShare& other) const;
};

/// How a workspace's rate is divided among instances. Stored in the key-value
/// service without an expiry, so it stays in force during an outage of that
/// service.
struct Allotment {
  std::string workspace;
  std::int64_t epoch = 0;
  std::vector<OwnerShare> owners;

  bool operator==(const Allotment& other) const;
};

/// An instance that may own a share.
struct OwnerCandidate {
  std::string instance;
  std::int64_t incarnation = 0;
};

/// The inputs from which the next allotment is computed.
struct AllotmentInputs {
  /// Instances that should own shares: alive, listed and not leaving.
  std::vector<OwnerCandidate> candidates;
  /// Names on the platform's list, including instances that are leaving.
  std::set<std::string> listed;
  std::int64_t list_version = 0;
  /// By owner, the incarnation that responds at its address now.
  std::map<std::string, std::int64_t> responding;
  /// By owner, the newest epoch that it has confirmed.
  std::map<std::string, std::int64_t> confirmed_epochs;
  /// Owners (name, incarnation) that terminated long enough ago for their
  /// shares to be reassigned; see TerminatedOwners.
  std::set<std::pair<std::string, std::int64_t>> reclaimable;
};

/// Whether the process that owns a share has certainly terminated.
bool HasTerminated(const OwnerShare& owner, const AllotmentInputs& inputs);

/// Tracks how long ago owners of shares terminated. Not synchronised.
class TerminatedOwners {
 public:
  /// @param settle_time for how long tokens that an owner lent may still be
  ///   spent after it terminated
  TerminatedOwners(absl::Duration settle_time, Clock clock);

  /// Records which owners have terminated.
  /// @return the owners (name, incarnation) that terminated at least the settle
  ///   time ago, whose shares may be reassigned
  std::set<std::pair<std::string, std::int64_t>> UpdateReclaimable(
      const Allotment& allotment, const AllotmentInputs& inputs);

 private:
  const absl::Duration settle_time;
  const Clock clock;
  /// When the termination of an owner (name, incarnation) was first seen.
  std::map<std::pair<std::string, std::int64_t>, Instant> first_seen;
};

/// Computes the next allotment; nothing if the current one needs no change.
///
/// The sum over owners of max(share, in_use) never exceeds
/// kFullShareMillionths: shares shrink first, and others grow only by what an
/// owner has confirmed to have given up or what a terminated owner left.
/// Complexity: O(n log n) in the owners and candidates.
std::optional<Allotment> PlanNextAllotment(const Allotment& current,
                                           const AllotmentInputs& inputs);

/// The share that one process may use under an allotment, in millionths.
std::int64_t ShareOf(const Allotment& allotment, std::string_view instance,
                     std::int64_t incarnation);

/// An upper bound on what all owners together may be using, in millionths.
std::int64_t MaxTotalInUse(const Allotment& allotment);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_ALLOTMENT_H_
