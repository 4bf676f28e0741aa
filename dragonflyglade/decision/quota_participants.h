#ifndef DRAGONFLYGLADE_DECISION_QUOTA_PARTICIPANTS_H_
#define DRAGONFLYGLADE_DECISION_QUOTA_PARTICIPANTS_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "dragonflyglade/decision/clock.h"

namespace dragonflyglade {

/// Tracks which instances may spend a share of the quotas on their own, and how
/// much of each quota to withhold for those that do not report their spending.
///
/// An instance that is no longer listed in the store may be running on the
/// other side of a network partition and spending its share there. An instance
/// that lost only the store goes on reporting its spending; nothing is withheld
/// for it, nor for the instances that are listed in its place.
/// Not synchronised.
class QuotaParticipants {
 public:
  /// @param window length of the window in which quotas are counted
  QuotaParticipants(absl::Duration window, Clock clock);

  /// Updates the instances that callers are sent to. To be called several times
  /// a window, also when the list has not changed.
  void UpdateListed(absl::Span<const std::string_view> listed);

  /// The fraction of each quota, 0 to 1, that instances which do not report may
  /// be spending.
  /// @param reporting the instances that report their spending
  double UnreportedFraction(const std::set<std::string_view>& reporting) const;

  /// The instances that do not report and may be spending.
  std::vector<std::string_view> Unreported(
      const std::set<std::string_view>& reporting) const;

 private:
  struct Participant {
    /// Listed since the fleet's start, so not in the place of another one.
    bool from_start = false;
    Instant listed_since;  ///< disregarding short absences
    Instant last_listed;
  };

  /// An instance that was last listed before this time is assumed to have no
  /// spending left in the window.
  Instant OldestRelevant() const;
  /// The fraction of its share that a participant may be spending.
  double SpendableFraction(const Participant& participant) const;
  void RemoveExpired();

  const absl::Duration window;
  const Clock clock;
  const Instant started;
  std::map<std::string, Participant, std::less<>> participants;
  /// By number of listed instances, when that number was last seen.
  std::map<std::size_t, Instant> listed_counts;
};

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_DECISION_QUOTA_PARTICIPANTS_H_
